package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;

/**
 * Quarantines minions on which tasks fail repeatedly: no task is started on them for a time.
 *
 * <p>Invariants: at most a fixed share of a shard's minions is in quarantine at the same time.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionQuarantine {
    private static final Logger LOGGER = System.getLogger(MinionQuarantine.class.getName());

    /**
     * Consecutive failures, with no completed task between them, after which a minion is
     * quarantined.
     */
    private static final int FAILURES_IN_A_ROW = 3;

    /** Duration of the first quarantine; it doubles with each further failure. */
    private static final long FIRST_QUARANTINE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final int MAX_DOUBLINGS = 3;

    /** Duration of the quarantine of a minion that refuses a start because it is unhealthy. */
    private static final long REFUSAL_QUARANTINE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Highest share of the minions that may be in quarantine at the same time. */
    private static final double MAX_SHARE = 0.4;

    private final ShardState mState;

    MinionQuarantine(ShardState state) {
        mState = state;
    }

    /** Records that a task was completed on a minion, which ends its series of failures. */
    void onDone(MinionSession minion) {
        minion.mConsecutiveFailures = 0;
    }

    /** Quarantines a minion that refused a start because it is unhealthy. */
    void onRefusal(MinionSession minion, long nowNanos) {
        quarantine(minion, REFUSAL_QUARANTINE_NANOS, nowNanos);
    }

    /** Records that a task failed or stalled on a minion. */
    void onFailed(MinionSession minion, long nowNanos) {
        minion.mConsecutiveFailures++;
        int extraFailures = minion.mConsecutiveFailures - FAILURES_IN_A_ROW;
        if (extraFailures >= 0) {
            quarantine(
                    minion,
                    FIRST_QUARANTINE_NANOS << Math.min(extraFailures, MAX_DOUBLINGS),
                    nowNanos);
        }
    }

    private void quarantine(MinionSession minion, long durationNanos, long nowNanos) {
        long quarantined =
                mState.mMinions.values().stream()
                        .filter(other -> nowNanos - other.mQuarantinedUntilNanos < 0)
                        .count();
        if (quarantined + 1 > mState.mMinions.size() * MAX_SHARE) {
            return;
        }
        minion.mQuarantinedUntilNanos = nowNanos + durationNanos;
        LOGGER.log(
                Level.INFO,
                "place: minion left out minion={0} failures={1} pause={2}ms",
                minion.id(),
                Integer.toString(minion.mConsecutiveFailures),
                Long.toString(TimeUnit.NANOSECONDS.toMillis(durationNanos)));
    }
}
