package org.endivetray.job;

import java.util.List;

/**
 * A worker as the platform's machine service lists it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id id of the worker, not null
 * @param pool pool that it belongs to, not null
 * @param status what it is doing, not null
 * @param minion id of the minion that runs on it, empty if none
 * @param labels its kind and its rack, not null
 * @param cpuMillis its processors, in thousandths of a core
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

    /** What a worker is doing. */
    public enum WorkerStatus {
        UP,
        MOVING,
        IN_UPKEEP,
        DOWN;

        /** Returns whether orders for the worker can be carried out. */
        public boolean acceptsOrders() {
            return this == UP;
        }
    }
}
