package org.endivetray.daemon.membership;

import org.endivetray.daemon.state.Registration;
import org.endivetray.wire.PeerConnection;
import org.endivetray.wire.gen.Heartbeat;

/**
 * What this daemon knows of another one.
 *
 * <p>Invariants: the heartbeat is the newest that was received from the incarnation.
 *
 * <p>This class is not thread-safe; the membership's thread owns it.
 */
final class PeerState {
    private final Registration mRegistration;
    private final PeerConnection mLink;
    private final long mFirstSeenNanos;
    private Heartbeat mHeartbeat;
    private long mHeardNanos;
    private boolean mHeard;
    private long mAbsentSinceNanos;
    private boolean mAbsent;

    PeerState(Registration registration, PeerConnection link, long nowNanos) {
        mRegistration = registration;
        mLink = link;
        mFirstSeenNanos = nowNanos;
    }

    Registration registration() {
        return mRegistration;
    }

    PeerConnection link() {
        return mLink;
    }

    /** Returns the newest heartbeat, or null if none was received. */
    Heartbeat heartbeat() {
        return mHeartbeat;
    }

    void onHeartbeat(Heartbeat heartbeat, long nowNanos) {
        mHeartbeat = heartbeat;
        mHeardNanos = nowNanos;
        mHeard = true;
        mAbsent = false;
    }

    /** Takes in a heartbeat that came through another peer, so that none was heard directly. */
    void onRelayedHeartbeat(Heartbeat heartbeat) {
        mHeartbeat = heartbeat;
        mAbsent = false;
    }

    /** Returns whether the peer was heard, or first seen, within the time. */
    boolean isFresh(long nowNanos, long withinNanos) {
        long since = mHeard ? mHeardNanos : mFirstSeenNanos;
        return nowNanos - since <= withinNanos;
    }

    /** Returns whether a heartbeat was received within the time. */
    boolean isHeard(long nowNanos, long withinNanos) {
        return mHeard && nowNanos - mHeardNanos <= withinNanos;
    }

    /** Records whether the peer is absent: neither heard nor alive in the store. */
    void markAbsent(boolean absent, long nowNanos) {
        if (absent && !mAbsent) {
            mAbsentSinceNanos = nowNanos;
        }
        mAbsent = absent;
    }

    /** Returns whether the peer has been absent for at least the time. */
    boolean isGone(long nowNanos, long afterNanos) {
        return mAbsent && nowNanos - mAbsentSinceNanos >= afterNanos;
    }
}
