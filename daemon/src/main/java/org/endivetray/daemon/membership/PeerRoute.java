package org.endivetray.daemon.membership;

import java.util.Map;
import java.util.Optional;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.wire.PeerConnection;

/**
 * The route of a message to another daemon.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param link the connection to use, not null
 * @param isDirect whether the connection ends at the daemon, not at a peer that relays the message
 */
record PeerRoute(PeerConnection link, boolean isDirect) {
    /**
     * Returns the route to a daemon: its own connection if it was heard or first seen recently,
     * else the connection of a peer that hears it, else its own connection.
     *
     * @throws EndivetrayException with {@link ResultCode#DAEMON_UNREACHABLE} if the daemon is not
     *     known
     */
    static PeerRoute to(
            String daemon, Map<String, PeerState> peers, long nowNanos, long suspectNanos) {
        PeerState peer = peers.get(daemon);
        if (peer != null && peer.isFresh(nowNanos, suspectNanos)) {
            return new PeerRoute(peer.link(), true);
        }
        Optional<PeerState> relay =
                peers.values().stream()
                        .filter(other -> other.isHeard(nowNanos, suspectNanos))
                        .filter(other -> other.heartbeat().getHears().contains(daemon))
                        .findFirst();
        if (relay.isPresent()) {
            return new PeerRoute(relay.get().link(), false);
        }
        if (peer == null) {
            throw new EndivetrayException(
                    ResultCode.DAEMON_UNREACHABLE, "daemon '" + daemon + "' is not known");
        }
        return new PeerRoute(peer.link(), true);
    }
}
