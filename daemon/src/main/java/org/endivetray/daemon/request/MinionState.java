package org.endivetray.daemon.request;

import org.endivetray.MinionEndpoint;
import org.endivetray.policy.MinionHealth;
import org.endivetray.policy.MinionSlots;

/**
 * One minion as the router sees it.
 *
 * <p>Invariants: requests in flight are at most the limit when a request is sent.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 */
final class MinionState implements MinionSlots {
    private final MinionEndpoint mEndpoint;
    private final String mWorker;
    private final boolean mNear;
    private final MinionHealth mHealth = new MinionHealth();
    private int mLimit;
    private long mAnsweredNanos = Long.MIN_VALUE / 2;
    private long mAnsweredSentNanos = Long.MIN_VALUE / 2;
    private int mInFlight;
    private boolean mAcceptsNewWork;

    MinionState(MinionEndpoint endpoint, String worker, boolean near) {
        mEndpoint = endpoint;
        mWorker = worker;
        mNear = near;
    }

    MinionEndpoint endpoint() {
        return mEndpoint;
    }

    String worker() {
        return mWorker;
    }

    MinionHealth health() {
        return mHealth;
    }

    boolean acceptsNewWork() {
        return mAcceptsNewWork;
    }

    void setAcceptsNewWork(boolean accepts) {
        mAcceptsNewWork = accepts;
    }

    void setLimit(int limit) {
        mLimit = limit;
    }

    void onSent() {
        mInFlight++;
        mHealth.onSent();
    }

    void onEnded() {
        mInFlight--;
    }

    /** Records an answer and when its request was sent, on the monotonic clock. */
    void onAnswered(long sentNanos, long nowNanos) {
        mAnsweredNanos = nowNanos;
        mAnsweredSentNanos = Math.max(mAnsweredSentNanos, sentNanos);
    }

    /** Returns whether nothing has been answered since the time. */
    boolean isSilentSince(long nanos) {
        return mAnsweredNanos - nanos < 0;
    }

    /** Returns whether a request that was sent after the time has been answered. */
    boolean hasAnsweredRequestSentAfter(long nanos) {
        return mAnsweredSentNanos - nanos > 0;
    }

    @Override
    public int inFlight() {
        return mInFlight;
    }

    @Override
    public int limit() {
        return mLimit;
    }

    @Override
    public boolean isInLocalZone() {
        return mNear;
    }
}
