package org.endivetray.policy.job;

import java.util.Comparator;

/**
 * The rank of a step with waiting tasks in the dispatch order.
 *
 * <p>Long-running steps that are not best-effort go first by queue priority, since they serve users
 * continuously. Steps that can still meet their objective follow, least remaining work of the job
 * first, then those that cannot, oldest first. Long-running best-effort steps go last.
 *
 * <p>When more work arrives than the pool can carry, the order by least work completes the most
 * jobs in time. Least slack first would start each job at its last moment, where half of the jobs
 * miss their objective because durations vary; a step with little slack for its remaining time
 * therefore counts as one that cannot meet its objective.
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

    /** Slack that a step needs to be in time, as a share of its job's remaining time. */
    private static final double SLACK_SHARE = 0.3;

    /** Slack that a step needs in addition, for the delivery of its orders and ends. */
    private static final long SLACK_MILLIS = 100;

    /**
     * Returns the rank of a long-running step.
     *
     * @param isBestEffort whether its tasks use only capacity that other tasks leave
     * @param priority the queue's priority, 0 goes first
     */
    public static StepRank ofLongRunning(boolean isBestEffort, int priority) {
        return new StepRank(isBestEffort ? BEST_EFFORT : LONG_RUNNING, priority);
    }

    /**
     * Returns the rank of a step whose tasks end by themselves.
     *
     * @param slackMillis time that it can still wait and meet its objective, in milliseconds,
     *     negative if it is late
     * @param remainingMillis expected duration of the steps of its job that are not done, in
     *     milliseconds, 0 or more
     * @param ageMillis time since it was due or submitted, in milliseconds
     * @param workCoreSeconds remaining work of its job, in core-seconds, 0 or more
     */
    public static StepRank of(
            long slackMillis, long remainingMillis, long ageMillis, double workCoreSeconds) {
        if (slackMillis >= SLACK_MILLIS + SLACK_SHARE * remainingMillis) {
            return new StepRank(IN_TIME, workCoreSeconds);
        }
        return new StepRank(LATE, -ageMillis);
    }

    /** Returns whether the step is one of those that end by themselves. */
    public boolean isFinite() {
        return group == IN_TIME || group == LATE;
    }

    /** Returns whether the step uses only capacity that all others leave. */
    public boolean isBestEffort() {
        return group == BEST_EFFORT;
    }

    /** Returns whether the step ends by itself and can still meet its objective. */
    public boolean isInTime() {
        return group == IN_TIME;
    }

    @Override
    public int compareTo(StepRank other) {
        return ORDER.compare(this, other);
    }
}
