package org.endivetray.policy.job;

import java.util.Comparator;

/**
 * The rank of a step with waiting tasks in the dispatch order.
 *
 * <p>Long-running steps that are not best-effort go first by queue priority, since they serve users
 * continuously. Steps that can still meet their objective follow, least slack first, then those
 * that cannot, oldest first. Long-running best-effort steps go last.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param group position of the group, 0 goes first
 * @param key order within the group, the lowest goes first
 */
public record StepRank(int group, double key) implements Comparable<StepRank> {
    private static final Comparator<StepRank> ORDER =
            Comparator.comparingInt(StepRank::group).thenComparingDouble(StepRank::key);

    private static final int LONG_RUNNING = 0;
    private static final int BEST_EFFORT = 3;
    private static final int IN_TIME = 1;
    private static final int LATE = 2;

    /**
     * Returns the rank of a step.
     *
     * @param isLongRunning whether its tasks run until the job is cancelled
     * @param isBestEffort whether its tasks use only capacity that other tasks leave
     * @param priority the queue's priority, 0 goes first; applies to long-running steps only
     * @param slackMillis time that it can still wait and meet its objective, in milliseconds,
     *     negative if it is late
     * @param ageMillis time since it was due or submitted, in milliseconds
     * @param workCoreSeconds remaining work, in core-seconds; does not affect the rank
     */
    public static StepRank of(
            boolean isLongRunning,
            boolean isBestEffort,
            int priority,
            long slackMillis,
            long ageMillis,
            double workCoreSeconds) {
        if (isLongRunning) {
            return new StepRank(isBestEffort ? BEST_EFFORT : LONG_RUNNING, priority);
        }
        if (slackMillis >= 0) {
            return new StepRank(IN_TIME, slackMillis);
        }
        return new StepRank(LATE, -ageMillis);
    }

    @Override
    public int compareTo(StepRank other) {
        return ORDER.compare(this, other);
    }
}
