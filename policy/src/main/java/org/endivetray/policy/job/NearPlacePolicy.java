package org.endivetray.policy.job;

/**
 * Decides whether a task that could start at once away from its data waits for a place near it.
 *
 * <p>Patterns of load: tasks of many jobs whose data is in one rack that is full for a short time,
 * and so many of them at once that the rack can't hold them while other racks have room.
 *
 * <p>A wait pays if the near place is expected to be free before the time has passed that a run
 * away takes longer. The spread of that estimate counts in full while the pool is idle, since a
 * place elsewhere then costs nobody anything, and less the more of the pool is in use, since a run
 * away holds its place for longer. Waiting tasks reserve nothing.
 *
 * <p>Invariants: a task waits at most as long as a run away takes longer, counted from the
 * beginning of its wait; a wait ends while a job that would be in time away still is; a job with
 * nothing running waits at most 2 s while the pool is under half of its capacity.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class NearPlacePolicy {
    /** Shortest gain for which a task waits; a start takes several round trips. */
    private static final long MIN_GAIN_MILLIS = 100;

    /** Slack that is kept, as a share of the duration away, since durations vary. */
    private static final double SLACK_SHARE = 0.3;

    /** Slack that is kept in addition, as a wait ends with the next dispatch after its moment. */
    private static final long SLACK_MILLIS = 150;

    /** Load of the pool under which a job must not have nothing running for long. */
    private static final double IDLE_LOAD = 0.5;

    /**
     * Longest wait of a job that has nothing running while the pool is under that load. A job that
     * has nothing running for 3 s although there is capacity for it counts as lost; the rest of
     * that time covers the start order and a dispatch after the bound.
     */
    private static final long MAX_IDLE_WAIT_MILLIS = 2_000;

    private NearPlacePolicy() {}

    /** What to do with a task. */
    public enum Action {
        /** Start it away from its data now. */
        START_AWAY(false),
        /** Wait for a near place until the moment of the decision, which is then taken anew. */
        WAIT(true);

        private final boolean mWaits;

        Action(boolean waits) {
            mWaits = waits;
        }

        /** Returns whether the task waits. */
        public boolean waits() {
            return mWaits;
        }
    }

    /**
     * What the decision depends on.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param nearMillis expected duration near the data, in milliseconds
     * @param farFactor multiple of it that the task takes away, 1 or more
     * @param place when a near place is free for the task, after those that wait before it, as if
     *     none were free now; null if no end on a near minion leads to such a place
     * @param slackMillis time that the task can wait and its job still meets its objective if it
     *     then runs near its data, in milliseconds; negative if the job is late
     * @param waitedMillis how long it has waited for a near place, in milliseconds, 0 or more
     * @param load share of the pool's capacity that is in use, from 0 to 1
     * @param hasRuns whether a task of the job is assigned to a minion
     */
    public record Facts(
            long nearMillis,
            double farFactor,
            TimeEstimate place,
            long slackMillis,
            long waitedMillis,
            double load,
            boolean hasRuns) {
        /** Returns how much longer the task takes away, in milliseconds. */
        public long lossMillis() {
            return Math.round((farFactor - 1) * nearMillis);
        }
    }

    /**
     * A decision.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param action what to do, not null
     * @param untilMillis time from now after which the decision is taken anew, in milliseconds
     */
    public record Decision(Action action, long untilMillis) {
        private static final Decision AWAY = new Decision(Action.START_AWAY, 0);
    }

    /** Returns the decision for a task that could start away from its data now. */
    public static Decision decide(Facts facts) {
        long loss = facts.lossMillis();
        if (facts.place() == null || loss < MIN_GAIN_MILLIS) {
            return Decision.AWAY;
        }
        double idle = 1 - Math.max(0, Math.min(1, facts.load()));
        double delay =
                facts.place().expectedMillis() + idle * Math.max(0, facts.place().spreadMillis());
        long longest = longestWaitMillis(facts);
        boolean pays = delay + MIN_GAIN_MILLIS <= loss && delay <= longest;
        return pays
                ? new Decision(Action.WAIT, Math.min(longest, facts.place().lateMillis()))
                : Decision.AWAY;
    }

    /** Returns the longest time that a task may go on waiting, in milliseconds. */
    private static long longestWaitMillis(Facts facts) {
        boolean isIdle = facts.load() < IDLE_LOAD && !facts.hasRuns();
        long most =
                isIdle ? Math.min(MAX_IDLE_WAIT_MILLIS, facts.lossMillis()) : facts.lossMillis();
        long bound = most - facts.waitedMillis();
        long slackAway = facts.slackMillis() - facts.lossMillis();
        if (slackAway < 0) {
            // A job that is late away loses no more than the bound by waiting.
            return bound;
        }
        long margin =
                SLACK_MILLIS + Math.round(SLACK_SHARE * facts.farFactor() * facts.nearMillis());
        return Math.min(bound, slackAway - margin);
    }
}
