package org.endivetray.daemon.request;

import org.endivetray.MinionEndpoint;
import org.endivetray.policy.MinionHealth;
import org.endivetray.policy.MinionSlots;

/**
 * The router's view of one minion.
 *
 * <p>Invariants: a request is sent only while fewer requests than the limit are in flight from this
 * daemon.
 *
 * <p>This class is not thread-safe; it is confined to the router's thread.
 */
final class MinionState implements MinionSlots {
    private final MinionEndpoint mEndpoint;
    private final String mWorker;
    private final boolean mInLocalZone;
    private final MinionHealth mHealth = new MinionHealth();
    private int mLimit;
    private long mLastResponseNanos = Long.MIN_VALUE / 2;

    /** Latest time at which a request was sent that has been answered. */
    private long mLatestAnsweredSendNanos = Long.MIN_VALUE / 2;

    private int mInFlight;
    private boolean mAcceptsNewWork;

    MinionState(MinionEndpoint endpoint, String worker, boolean inLocalZone) {
        mEndpoint = endpoint;
        mWorker = worker;
        mInLocalZone = inLocalZone;
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

    /** Records a response and when its request was sent, in nanoseconds on the monotonic clock. */
    void onAnswered(long sentNanos, long nowNanos) {
        mLastResponseNanos = nowNanos;
        mLatestAnsweredSendNanos = Math.max(mLatestAnsweredSendNanos, sentNanos);
    }

    /** Returns whether no response has been received since the given time. */
    boolean isSilentSince(long nanos) {
        return mLastResponseNanos - nanos < 0;
    }

    /** Returns whether a request that was sent after the given time has been answered. */
    boolean hasAnsweredRequestSentAfter(long nanos) {
        return mLatestAnsweredSendNanos - nanos > 0;
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
        return mInLocalZone;
    }
}
