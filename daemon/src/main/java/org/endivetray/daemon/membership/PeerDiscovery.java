package org.endivetray.daemon.membership;

import java.util.Map;
import java.util.Set;

/**
 * Decides when a daemon that has just started knows who else is there.
 *
 * <p>It does once the daemons with a lease in the store were heard, or were silent for long enough.
 *
 * <p>Invariants: once settled, it stays so.
 *
 * <p>This class is not thread-safe, but for {@link #isComplete()}; the membership's thread owns it.
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

    /** Takes in whether the stored state is known, and who has a lease and is heard. */
    void update(boolean known, Set<String> leased, Map<String, PeerState> peers, long nowNanos) {
        if (mComplete || !known) {
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
