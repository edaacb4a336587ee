package org.endivetray.policy.job;

/**
 * Computes how long a step can still wait and meet the latency objective of its job.
 *
 * <p>Pattern of load: jobs whose callers or operators set a number at the end of its range, such as
 * a target latency that stands for none, beside ordinary jobs that must keep their order.
 *
 * <p>Invariants: a result is within {@link #MAX_SLACK_MILLIS} of zero, so that durations can be
 * added to it and subtracted from it without an overflow.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class LatencyObjective {
    /** Largest slack, and largest lateness, that is told apart, in milliseconds. */
    public static final long MAX_SLACK_MILLIS = 1L << 53;

    private LatencyObjective() {}

    /**
     * Returns the time that a step can still wait, in milliseconds, negative if it is late.
     *
     * @param stretch factor by which the job may exceed its critical path
     * @param criticalPathMillis expected duration of the longest chain of its steps, in
     *     milliseconds
     * @param targetLatencyMillis time allowed in addition, in milliseconds
     * @param ageMillis time since the job was due or accepted, in milliseconds
     * @param remainingMillis expected duration of the steps that are not done, in milliseconds
     */
    public static long slackMillis(
            double stretch,
            long criticalPathMillis,
            long targetLatencyMillis,
            long ageMillis,
            long remainingMillis) {
        double slack =
                stretch * criticalPathMillis
                        + (double) targetLatencyMillis
                        - (double) ageMillis
                        - (double) remainingMillis;
        return Math.round(Math.max(-MAX_SLACK_MILLIS, Math.min(MAX_SLACK_MILLIS, slack)));
    }
}
