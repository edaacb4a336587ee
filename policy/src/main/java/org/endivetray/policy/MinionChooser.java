package org.endivetray.policy;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the minion for a request among the candidates by load.
 *
 * <p>The load of a minion is the fraction of its slots in use. A minion in another availability
 * zone counts as loaded by {@link #CROSS_ZONE_PENALTY} more, so minions in the local zone are
 * preferred until they are more loaded than others by that much. Ties are broken at random.
 *
 * <p>Invariants: a minion without a free slot is never chosen.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 */
public final class MinionChooser {
    /** Fraction of slots added to the load of a minion in another availability zone. */
    public static final double CROSS_ZONE_PENALTY = 0.25;

    private final SplittableRandom mRandom;

    /**
     * Constructs a chooser.
     *
     * @param seed seed of the random generator that breaks ties and picks candidates
     */
    public MinionChooser(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns the least loaded candidate, or empty if none has a free slot.
     *
     * @param candidates minions that admit the request, not null
     * @param <M> type of the candidates
     */
    public <M extends MinionSlots> Optional<M> leastLoaded(List<M> candidates) {
        M best = null;
        double bestScore = 0;
        int ties = 1;
        for (M candidate : candidates) {
            if (candidate.freeSlots() <= 0) {
                continue;
            }
            double score = score(candidate);
            if (best == null || score < bestScore) {
                best = candidate;
                bestScore = score;
                ties = 1;
            } else if (score == bestScore && mRandom.nextInt(++ties) == 0) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the less loaded of two random candidates, or empty if neither has a free slot.
     *
     * @param candidates minions that admit the request, not null
     * @param <M> type of the candidates
     */
    public <M extends MinionSlots> Optional<M> leastLoadedOfTwo(List<M> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        M first = candidates.get(mRandom.nextInt(candidates.size()));
        M second = candidates.get(mRandom.nextInt(candidates.size()));
        return leastLoaded(List.of(first, second));
    }

    private static double score(MinionSlots minion) {
        double load = (double) minion.inFlight() / Math.max(1, minion.limit());
        return minion.isInLocalZone() ? load : load + CROSS_ZONE_PENALTY;
    }
}
