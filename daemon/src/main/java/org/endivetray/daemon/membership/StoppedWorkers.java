package org.endivetray.daemon.membership;

import java.util.Map;

/**
 * The workers to which a daemon sends no new work, with its requests still in flight there.
 *
 * <p>Invariants: both maps have the same keys; once a worker is listed at an epoch, the daemon
 * sends no request to it until a higher epoch makes it active.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param epochs epoch at which the host record stopped new work, by worker, not null
 * @param inFlight number of requests in flight, by worker, not null
 */
public record StoppedWorkers(Map<String, Long> epochs, Map<String, Integer> inFlight) {
    /** No stopped workers. */
    public static final StoppedWorkers NONE = new StoppedWorkers(Map.of(), Map.of());

    public StoppedWorkers {
        epochs = Map.copyOf(epochs);
        inFlight = Map.copyOf(inFlight);
    }

    /** Returns whether the worker is stopped at the epoch or later and has nothing in flight. */
    public boolean isIdle(String worker, long epoch) {
        return epochs.getOrDefault(worker, 0L) >= epoch && inFlight.getOrDefault(worker, 1) == 0;
    }
}
