package org.endivetray.policy.job;

import java.util.Comparator;

/**
 * The place of a step with waiting tasks among others.
 *
 * <p>Tasks that last go first, since they serve users all the time. Of the others, those that can
 * still be in time go by their worth for the work that they need, and those that cannot wait behind
 * in the order of their age.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param group 0 goes first
 * @param key order within the group, lower goes first
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
     * @param isBestEffort whether its tasks use only capacity that others leave
     * @param priority the queue's priority, 0 goes first
     * @param slackMillis time that it can still wait and be in time, in milliseconds
     * @param ageMillis time since it was due or handed in, in milliseconds
     * @param workCoreSeconds work that is left, in core-seconds
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
