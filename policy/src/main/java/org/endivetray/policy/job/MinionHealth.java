package org.endivetray.policy.job;

import java.util.concurrent.TimeUnit;

/**
 * What the ends of runs on a minion say of its health: after several failures in a row the minion
 * is quarantined, so that no task is started on it for a time, longer with each failure after that.
 *
 * <p>Patterns of load: a minion that fails all that it starts, beside many that don't; and minions
 * that are the only ones on which a task can run, fail for a while and are sound again.
 *
 * <p>A run that was started before a quarantine began says nothing new when it fails during or
 * after it. Failures that are far apart don't add up, since long-running tasks fail at any time and
 * are never done.
 *
 * <p>Invariants: a run that was ordered before a quarantine began neither prolongs it nor begins
 * another one.
 *
 * <p>Times are of one monotonic clock, in nanoseconds. This class is immutable and thread-safe.
 *
 * @param failures number of failures in a row that count
 * @param lastFailureNanos time of the last of them; without meaning if there is none
 * @param quarantineNanos beginning of the last quarantine; without meaning if there was none
 * @param durationNanos duration of the last quarantine, 0 if there was none
 */
public record MinionHealth(
        int failures, long lastFailureNanos, long quarantineNanos, long durationNanos) {
    /** The health of a minion on which no run has ended. */
    public static final MinionHealth SOUND = new MinionHealth(0, 0, 0, 0);

    /** Failures in a row after which a minion is quarantined. */
    private static final int FAILURES_IN_A_ROW = 3;

    /** Duration of the first quarantine; it doubles with each further failure. */
    private static final long FIRST_QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_DOUBLINGS = 3;

    /** Duration of the quarantine of a minion that refuses a start because it is unhealthy. */
    private static final long REFUSAL_QUARANTINE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time after which a failure no longer adds to those before; covers the longest quarantine. */
    private static final long FAILURE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(12);

    /** Pause after a failure before a long-running task is tried that can run nowhere else. */
    private static final long PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Returns the health after a task was completed, which ends a series of failures. */
    public MinionHealth afterDone() {
        return new MinionHealth(0, lastFailureNanos, quarantineNanos, durationNanos);
    }

    /**
     * Returns the health after a run has failed or stalled.
     *
     * @param startedNanos when the run was ordered
     * @param nowNanos the present time
     */
    public MinionHealth afterFailure(long startedNanos, long nowNanos) {
        if (wasQuarantined() && startedNanos - quarantineNanos <= 0) {
            return this;
        }
        boolean isRecent = failures > 0 && nowNanos - lastFailureNanos < FAILURE_WINDOW_NANOS;
        return new MinionHealth(
                isRecent ? failures + 1 : 1, nowNanos, quarantineNanos, durationNanos);
    }

    /** Returns whether the failures call for a quarantine. */
    public boolean needsQuarantine() {
        return failures >= FAILURES_IN_A_ROW;
    }

    /** Returns the health at the beginning of a quarantine that the failures call for. */
    public MinionHealth quarantined(long nowNanos) {
        int doublings = Math.min(failures - FAILURES_IN_A_ROW, MAX_DOUBLINGS);
        return quarantined(FIRST_QUARANTINE_NANOS << Math.max(0, doublings), nowNanos);
    }

    /** Returns the health after the minion has refused a start because it is unhealthy. */
    public MinionHealth afterRefusal(long nowNanos) {
        return isQuarantined(nowNanos + REFUSAL_QUARANTINE_NANOS)
                ? this
                : quarantined(REFUSAL_QUARANTINE_NANOS, nowNanos);
    }

    private MinionHealth quarantined(long durationNanos, long nowNanos) {
        return new MinionHealth(failures, lastFailureNanos, nowNanos, durationNanos);
    }

    private boolean wasQuarantined() {
        return durationNanos > 0;
    }

    /** Returns whether no task is to be started that can run on another minion. */
    public boolean isQuarantined(long nowNanos) {
        return wasQuarantined() && nowNanos - quarantineNanos < durationNanos;
    }

    /**
     * Returns whether a long-running task that can run on no minion but quarantined ones may be
     * started on this one.
     */
    public boolean mayProbe(long nowNanos) {
        return failures == 0 || nowNanos - lastFailureNanos >= PROBE_PAUSE_NANOS;
    }
}
