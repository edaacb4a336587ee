package org.endivetray.daemon.job.relay;

import java.util.concurrent.TimeUnit;

/**
 * Tells from the outcomes of recent calls whether this daemon reaches the shared store itself.
 *
 * <p>A call without an answer, or two refused calls with no success between them, show that it does
 * not. From then on one call in each probe interval is made directly, and the first success ends
 * the outage.
 *
 * <p>This class is thread-safe.
 */
final class StorePath {
    /** Refusals in a row after which the store counts as out of reach; one may be a rate limit. */
    private static final int MAX_REFUSALS = 2;

    /** Time between direct calls while the store is out of reach. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private int mRefusals;
    private long mProbedNanos;

    /** Returns whether the store answers this daemon, as far as is known. */
    synchronized boolean isUsable() {
        return mRefusals < MAX_REFUSALS;
    }

    /**
     * Returns whether the next call is to be made directly.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    synchronized boolean mayCallDirectly(long nowNanos) {
        if (isUsable()) {
            return true;
        }
        if (nowNanos - mProbedNanos < PROBE_INTERVAL_NANOS) {
            return false;
        }
        mProbedNanos = nowNanos;
        return true;
    }

    /** Records a call that the store has answered. */
    synchronized void onAnswered() {
        mRefusals = 0;
    }

    /** Records a call that the store has refused. */
    synchronized void onRefused(long nowNanos) {
        mRefusals++;
        mProbedNanos = nowNanos;
    }

    /** Records a call that was not answered in time. */
    synchronized void onSilent(long nowNanos) {
        mRefusals = MAX_REFUSALS;
        mProbedNanos = nowNanos;
    }
}
