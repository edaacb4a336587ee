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
    private volatile boolean mSettled;
    private boolean mKnown;
    private long mKnownSinceNanos;

    PeerDiscovery(long heartbeatNanos, long suspectNanos) {
        mHeartbeatNanos = heartbeatNanos;
        mSuspectNanos = suspectNanos;
    }

    boolean isComplete() {
        return mSettled;
    }

    /** Takes in whether the stored state is known, and who has a lease and is heard. */
    void update(boolean known, Set<String> leased, Map<String, PeerState> peers, long nowNanos) {
        if (mSettled || !known) {
            return;
        }
        if (!mKnown) {
            mKnown = true;
            mKnownSinceNanos = nowNanos;
        }
        long waited = nowNanos - mKnownSinceNanos;
        boolean allHeard =
                leased.stream().allMatch(peer -> peers.get(peer).isHeard(nowNanos, mSuspectNanos));
        mSettled = waited > mSuspectNanos || (allHeard && waited > mHeartbeatNanos);
    }
}
