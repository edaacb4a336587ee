package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.MinionHealth;

/**
 * Quarantines minions on which tasks fail repeatedly: no task that can run elsewhere is started on
 * them for a time.
 *
 * <p>Invariants: at most a fixed share of a shard's minions is in quarantine at the same time.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionQuarantine {
    private static final Logger LOGGER = System.getLogger(MinionQuarantine.class.getName());

    /** Highest share of the minions that may be in quarantine at the same time. */
    private static final double MAX_SHARE = 0.4;

    private final ShardState mState;

    MinionQuarantine(ShardState state) {
        mState = state;
    }

    /** Records that a task was completed on a minion, which ends its series of failures. */
    void onDone(MinionSession minion) {
        minion.mHealth = minion.mHealth.afterDone();
    }

    /** Quarantines a minion that refused a start because it is unhealthy. */
    void onRefusal(MinionSession minion, long nowNanos) {
        if (hasRoom(nowNanos)) {
            quarantine(minion, minion.mHealth.afterRefusal(nowNanos));
        }
    }

    /**
     * Records that a run failed or stalled on a minion.
     *
     * @param minion the minion, not null
     * @param startedNanos when the run was ordered, on the monotonic clock
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void onFailed(MinionSession minion, long startedNanos, long nowNanos) {
        MinionHealth before = minion.mHealth;
        minion.mHealth = before.afterFailure(startedNanos, nowNanos);
        if (minion.mHealth != before && minion.mHealth.needsQuarantine() && hasRoom(nowNanos)) {
            quarantine(minion, minion.mHealth.quarantined(nowNanos));
        }
    }

    /** Returns whether one more minion may be quarantined. */
    private boolean hasRoom(long nowNanos) {
        long quarantined =
                mState.mMinions.values().stream()
                        .filter(minion -> minion.mHealth.isQuarantined(nowNanos))
                        .count();
        return quarantined + 1 <= mState.mMinions.size() * MAX_SHARE;
    }

    private static void quarantine(MinionSession minion, MinionHealth health) {
        minion.mHealth = health;
        LOGGER.log(
                Level.INFO,
                "place: minion left out minion={0} failures={1} pause={2}ms",
                minion.id(),
                Integer.toString(health.failures()),
                Long.toString(TimeUnit.NANOSECONDS.toMillis(health.durationNanos())));
    }
}
