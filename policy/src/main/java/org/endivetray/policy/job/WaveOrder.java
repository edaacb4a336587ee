package org.endivetray.policy.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the worker of a maintenance wave to drain next.
 *
 * <p>Workers that run long-running tasks take longest, since only some of a step's tasks may be
 * unavailable at the same time. They get a share of the wave from the start so that none is left
 * for the end. The other places go to the worker whose outage costs least.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class WaveOrder {
    /**
     * One in this many workers in progress runs long-running tasks, while such workers are left.
     */
    private static final int PINNED_PERIOD = 3;

    private WaveOrder() {}

    /**
     * Returns the worker to drain next, or empty if there is none.
     *
     * @param candidates the workers that are left, not null
     * @param underWay number of workers that are being drained or are down
     * @param pinnedUnderWay number of those that ran long-running tasks when they were chosen
     */
    public static Optional<Candidate> next(
            Collection<Candidate> candidates, int underWay, int pinnedUnderWay) {
        boolean isPinnedDue = pinnedUnderWay * PINNED_PERIOD <= underWay;
        return candidates.stream()
                .min(
                        Comparator.comparing(
                                        (Candidate candidate) ->
                                                candidate.isPinned() != isPinnedDue)
                                .thenComparingDouble(Candidate::cost)
                                .thenComparing(Candidate::worker));
    }

    /**
     * A worker whose maintenance has not started.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param worker the worker's id, not null
     * @param isPinned whether it runs long-running tasks
     * @param cost cost of its outage, in workers of its pool
     */
    public record Candidate(String worker, boolean isPinned, double cost) {}
}
