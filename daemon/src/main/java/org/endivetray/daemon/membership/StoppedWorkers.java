package org.endivetray.daemon.membership;

import java.util.Map;

/**
 * Which workers a daemon sends no new work to, and what it still has in flight there.
 *
 * <p>Invariants: a worker stands in both maps or in neither; once a worker stands here at an epoch,
 * the daemon starts nothing on it until a higher epoch makes it active.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param epochs epoch of the host record that stopped the work, by worker, not null
 * @param inFlight requests in flight, by worker, not null
 */
public record StoppedWorkers(Map<String, Long> epochs, Map<String, Integer> inFlight) {
    /** Nothing is stopped. */
    public static final StoppedWorkers NONE = new StoppedWorkers(Map.of(), Map.of());

    public StoppedWorkers {
        epochs = Map.copyOf(epochs);
        inFlight = Map.copyOf(inFlight);
    }

    /** Returns whether nothing is in flight to the worker, stopped at the epoch or later. */
    public boolean isIdle(String worker, long epoch) {
        return epochs.getOrDefault(worker, 0L) >= epoch && inFlight.getOrDefault(worker, 1) == 0;
    }
}
