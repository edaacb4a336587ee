package org.endivetray.job;

import java.util.List;

/**
 * A worker as listed by the platform.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id id of the worker, not null
 * @param pool name of the pool that it belongs to, not null
 * @param status the current status, not null
 * @param minion id of the minion that runs on it, empty if none
 * @param labels its kind and its rack, in this order, not null
 * @param cpuMillis CPU capacity, in thousandths of a core
 */
public record WorkerInfo(
        String id,
        String pool,
        WorkerStatus status,
        String minion,
        List<String> labels,
        int cpuMillis) {
    public WorkerInfo {
        labels = List.copyOf(labels);
    }

    /** The status of a worker; {@code IN_UPKEEP} is that of a worker in maintenance. */
    public enum WorkerStatus {
        UP,
        MOVING,
        IN_UPKEEP,
        DOWN;

        /** Returns whether the platform accepts orders for a worker in this status. */
        public boolean acceptsOrders() {
            return this == UP;
        }
    }
}
