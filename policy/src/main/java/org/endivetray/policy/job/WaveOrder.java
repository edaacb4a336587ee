package org.endivetray.policy.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses which worker of a maintenance wave is emptied next.
 *
 * <p>Workers that run tasks that last take longest, since only some of a step's tasks may be away
 * at the same time; a share of the wave goes to them from the start, so that none is left for the
 * end. Beside them goes the worker whose outage costs least.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class WaveOrder {
    /** One in so many workers under way is one that runs tasks that last, while any are left. */
    private static final int PINNED_PERIOD = 3;

    private WaveOrder() {}

    /**
     * Returns the worker to empty next, empty if there is none.
     *
     * @param candidates the workers that are left, not null
     * @param underWay workers that are being emptied or are down
     * @param pinnedUnderWay those of them that ran tasks that last when they were chosen
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
     * A worker that is left.
     *
     * @param worker id of the worker, not null
     * @param isPinned whether it runs tasks that last
     * @param cost cost of its outage, in workers of its pool
     */
    public record Candidate(String worker, boolean isPinned, double cost) {}
}
