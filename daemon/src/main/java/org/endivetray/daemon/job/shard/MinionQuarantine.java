package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;

/**
 * Leaves minions out for a while on which everything fails.
 *
 * <p>Invariants: never more than a stated share of a shard's minions is left out at once.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionQuarantine {
    private static final Logger LOGGER = System.getLogger(MinionQuarantine.class.getName());

    /** Failures in a row, none done between them, after which a minion is left out. */
    private static final int FAILURES_IN_A_ROW = 3;

    /** First time for which a minion is left out; it doubles with each further failure. */
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final int MAX_DOUBLINGS = 3;

    /** Time for which a minion that refuses as unhealthy is left out. */
    private static final long REFUSAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Highest share of the minions that may be left out at once. */
    private static final double MAX_SHARE = 0.4;

    private final ShardState mState;

    MinionQuarantine(ShardState state) {
        mState = state;
    }

    void onDone(MinionSession minion) {
        minion.mConsecutiveFailures = 0;
    }

    void onRefusal(MinionSession minion, long nowNanos) {
        leaveOut(minion, REFUSAL_PAUSE_NANOS, nowNanos);
    }

    void onFailed(MinionSession minion, long nowNanos) {
        minion.mConsecutiveFailures++;
        int over = minion.mConsecutiveFailures - FAILURES_IN_A_ROW;
        if (over >= 0) {
            leaveOut(minion, FIRST_PAUSE_NANOS << Math.min(over, MAX_DOUBLINGS), nowNanos);
        }
    }

    private void leaveOut(MinionSession minion, long pauseNanos, long nowNanos) {
        long out =
                mState.mMinions.values().stream()
                        .filter(other -> nowNanos - other.mQuarantinedUntilNanos < 0)
                        .count();
        if (out + 1 > mState.mMinions.size() * MAX_SHARE) {
            return;
        }
        minion.mQuarantinedUntilNanos = nowNanos + pauseNanos;
        LOGGER.log(
                Level.INFO,
                "place: minion left out minion={0} failures={1} pause={2}ms",
                minion.id(),
                Integer.toString(minion.mConsecutiveFailures),
                Long.toString(TimeUnit.NANOSECONDS.toMillis(pauseNanos)));
    }
}
