package org.endivetray.daemon.membership;

import java.util.Map;
import java.util.Set;

/**
 * Determines when a daemon that has just started knows its peers.
 *
 * <p>Discovery is complete when all daemons with a lease in the store are heard and the stored
 * state has been known for longer than the heartbeat interval, or when the stored state has been
 * known for longer than the time after which a silent peer is suspected to have failed.
 *
 * <p>Invariants: discovery that is complete stays complete.
 *
 * <p>This class is not thread-safe except for {@link #isComplete()}; it is confined to the
 * membership's thread.
 */
final class PeerDiscovery {
    private final long mHeartbeatNanos;
    private final long mSuspectNanos;
    private volatile boolean mComplete;
    private boolean mStateKnown;
    private long mStateKnownNanos;

    PeerDiscovery(long heartbeatNanos, long suspectNanos) {
        mHeartbeatNanos = heartbeatNanos;
        mSuspectNanos = suspectNanos;
    }

    boolean isComplete() {
        return mComplete;
    }

    /**
     * Determines whether discovery is complete.
     *
     * @param stateKnown whether the stored state is known
     * @param leased the peers with a lease in the store, not null
     * @param peers the peers by name, not null
     * @param nowNanos time on the monotonic clock, in nanoseconds
     */
    void update(
            boolean stateKnown, Set<String> leased, Map<String, PeerState> peers, long nowNanos) {
        if (mComplete || !stateKnown) {
            return;
        }
        if (!mStateKnown) {
            mStateKnown = true;
            mStateKnownNanos = nowNanos;
        }
        long waited = nowNanos - mStateKnownNanos;
        boolean allHeard =
                leased.stream().allMatch(peer -> peers.get(peer).isHeard(nowNanos, mSuspectNanos));
        mComplete = waited > mSuspectNanos || (allHeard && waited > mHeartbeatNanos);
    }
}
