package org.endivetray.daemon.membership;

import org.endivetray.daemon.state.Registration;
import org.endivetray.wire.PeerConnection;
import org.endivetray.wire.gen.Heartbeat;

/**
 * This daemon's view of one peer.
 *
 * <p>Invariants: the heartbeat is the last one received from the peer, directly or through a relay.
 *
 * <p>This class is not thread-safe; it is confined to the membership's thread.
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

    /** Records a heartbeat relayed by another peer; it does not count as heard directly. */
    void onRelayedHeartbeat(Heartbeat heartbeat) {
        mHeartbeat = heartbeat;
        mAbsent = false;
    }

    /** Returns whether the peer was last heard, or else first seen, within the given time. */
    boolean isFresh(long nowNanos, long withinNanos) {
        long since = mHeard ? mHeardNanos : mFirstSeenNanos;
        return nowNanos - since <= withinNanos;
    }

    /** Returns whether a heartbeat was received directly within the given time. */
    boolean isHeard(long nowNanos, long withinNanos) {
        return mHeard && nowNanos - mHeardNanos <= withinNanos;
    }

    /**
     * Records whether the peer is absent, that is, neither fresh nor with a liveness record in the
     * store.
     */
    void markAbsent(boolean absent, long nowNanos) {
        if (absent && !mAbsent) {
            mAbsentSinceNanos = nowNanos;
        }
        mAbsent = absent;
    }

    /** Returns whether the peer has been absent for at least the given time. */
    boolean isGone(long nowNanos, long afterNanos) {
        return mAbsent && nowNanos - mAbsentSinceNanos >= afterNanos;
    }
}
