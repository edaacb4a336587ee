package org.endivetray.policy;

import java.util.concurrent.TimeUnit;

/**
 * Decides from the results of requests whether a minion is ejected from routing.
 *
 * <p>A minion is ejected after {@link #FAILURES_TO_EJECT} consecutive failures if enough others are
 * in routing. Once the ejection time has passed, it admits one repeatable request at a time as a
 * probe. While a minion is ejected, a success readmits it and a failure doubles the ejection time
 * up to its maximum.
 *
 * <p>Invariants: an ejected minion admits no request while a probe is recorded as in flight.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 */
public final class MinionHealth {
    /** Number of consecutive failures after which a minion is ejected. */
    public static final int FAILURES_TO_EJECT = 4;

    private static final long FIRST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(15);

    private int mFailuresInRow;
    private boolean mEjected;
    private boolean mProbeInFlight;
    private long mEjectionNanos = FIRST_EJECTION_NANOS;
    private long mProbeAtNanos;

    /** Returns whether the minion is ejected from routing. */
    public boolean isEjected() {
        return mEjected;
    }

    /**
     * Returns whether a request may be sent to the minion.
     *
     * @param repeatable whether the request may be repeated on another minion if it fails
     * @param nowNanos time on the monotonic clock, in nanoseconds
     */
    public boolean admits(boolean repeatable, long nowNanos) {
        if (!mEjected) {
            return true;
        }
        return repeatable && !mProbeInFlight && nowNanos - mProbeAtNanos >= 0;
    }

    /** Records that a request was sent to the minion. */
    public void onSent() {
        mProbeInFlight = mEjected;
    }

    /** Records that a request was answered, which readmits an ejected minion. */
    public void onSuccess() {
        mFailuresInRow = 0;
        mEjected = false;
        mProbeInFlight = false;
        mEjectionNanos = FIRST_EJECTION_NANOS;
    }

    /**
     * Records that a request ended without evidence about the minion, for example by cancellation.
     */
    public void onInconclusive() {
        mProbeInFlight = false;
    }

    /**
     * Records that a request failed.
     *
     * @param mayEject whether enough other minions are in routing to eject this one
     * @param nowNanos time on the monotonic clock, in nanoseconds
     * @return whether this failure ejected the minion
     */
    public boolean onFailure(boolean mayEject, long nowNanos) {
        mFailuresInRow++;
        if (mEjected) {
            mProbeInFlight = false;
            mEjectionNanos = Math.min(MAX_EJECTION_NANOS, mEjectionNanos * 2);
            mProbeAtNanos = nowNanos + mEjectionNanos;
            return false;
        }
        if (mFailuresInRow < FAILURES_TO_EJECT || !mayEject) {
            return false;
        }
        mEjected = true;
        mProbeAtNanos = nowNanos + mEjectionNanos;
        return true;
    }
}
