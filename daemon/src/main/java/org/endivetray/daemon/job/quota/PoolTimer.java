package org.endivetray.daemon.job.quota;

import java.util.concurrent.TimeUnit;
import org.endivetray.job.Resources;
import org.endivetray.policy.job.quota.QuotaDemand;
import org.endivetray.policy.job.quota.QuotaLedger;
import org.endivetray.policy.job.quota.QuotaPolicy;

/**
 * The times that decide how long a pool keeps room of an account.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PoolTimer {
    /** Time for which a pool keeps room that it does not need, several job durations. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time for which a pool holds room before it moves behind those that have none, one task
     * duration.
     */
    private static final long TURN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long mExcessSinceNanos;
    private boolean mIsExcessive;
    private long mTurnSinceNanos;
    private long mSince = -1;

    /**
     * Returns the demand of a pool.
     *
     * @param cap what the account may take in all pools, not null
     * @param ledger the shares of the pools, not null
     * @param member the pool, not null
     * @param load what the account's tasks take and wait for, not null
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    QuotaDemand demand(
            Resources cap,
            QuotaLedger ledger,
            QuotaMember member,
            QuotaMember.AccountLoad load,
            long nowNanos) {
        Resources granted = ledger.share(member.pool()).granted();
        boolean isExcessive =
                QuotaPolicy.isExcessive(cap, granted, load.used().plus(load.waiting()));
        if (isExcessive && !mIsExcessive) {
            mExcessSinceNanos = nowNanos;
        }
        mIsExcessive = isExcessive;
        long since = ledger.share(member.pool()).since();
        if (since != mSince || granted.equals(Resources.NONE)) {
            mSince = since;
            mTurnSinceNanos = nowNanos;
        }
        return new QuotaDemand(
                load.used(),
                load.waiting(),
                load.unit(),
                member.isSettled(),
                isExcessive && nowNanos - mExcessSinceNanos >= IDLE_NANOS,
                nowNanos - mTurnSinceNanos >= TURN_NANOS);
    }
}
