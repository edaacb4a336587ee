package org.endivetray.policy;

import java.util.concurrent.TimeUnit;

/**
 * Decides from the results of requests whether a minion is left out of routing.
 *
 * <p>A minion is ejected after {@link #FAILURES_TO_EJECT} failures in a row. When the ejection time
 * has passed, one repeatable request at a time is let through as a probe; its success readmits the
 * minion and its failure doubles the ejection time.
 *
 * <p>Invariants: while a minion is ejected at most one probe is in flight.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 */
public final class MinionHealth {
    /** Number of failures in a row after which a minion is ejected. */
    public static final int FAILURES_TO_EJECT = 4;

    private static final long FIRST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(15);

    private int mFailuresInRow;
    private boolean mEjected;
    private boolean mProbeInFlight;
    private long mEjectionNanos = FIRST_EJECTION_NANOS;
    private long mProbeAtNanos;

    /** Returns whether the minion is left out of routing. */
    public boolean isEjected() {
        return mEjected;
    }

    /**
     * Returns whether a request may be sent to the minion.
     *
     * @param repeatable whether the request may be repeated elsewhere when it fails
     * @param nowNanos time on the monotonic clock, in nanoseconds
     */
    public boolean admits(boolean repeatable, long nowNanos) {
        if (!mEjected) {
            return true;
        }
        return repeatable && !mProbeInFlight && nowNanos - mProbeAtNanos >= 0;
    }

    /** Records that a request was sent. */
    public void onSent() {
        mProbeInFlight = mEjected;
    }

    /** Records an answer. */
    public void onSuccess() {
        mFailuresInRow = 0;
        mEjected = false;
        mProbeInFlight = false;
        mEjectionNanos = FIRST_EJECTION_NANOS;
    }

    /** Records that the result says nothing about the minion, as after a cancel. */
    public void onInconclusive() {
        mProbeInFlight = false;
    }

    /**
     * Records a failure.
     *
     * @param mayEject whether enough other minions are in routing to leave this one out
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
