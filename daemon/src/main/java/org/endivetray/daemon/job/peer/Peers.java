package org.endivetray.daemon.job.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.endivetray.daemon.job.ownership.OwnershipView.DaemonRecord;
import org.endivetray.wire.PeerConnection;
import org.endivetray.wire.gen.Body;

/**
 * Connections to the other daemons, one for each incarnation of a daemon.
 *
 * <p>This class is thread-safe.
 */
public final class Peers implements PeerClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private final Vertx mVertx;
    private final NetClient mClient;
    private final String mName;
    private final long mIncarnation;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final Map<String, Link> mLinks = new HashMap<>();

    /**
     * Constructs a set of peers that has no connections yet.
     *
     * @param vertx runs the connections, not null
     * @param name this daemon's name, not null
     * @param incarnation number of this daemon's incarnation
     */
    public Peers(Vertx vertx, String name, long incarnation) {
        mVertx = vertx;
        mName = name;
        mIncarnation = incarnation;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    @Override
    public Future<Body> send(DaemonRecord daemon, Body body, long timeoutMillis) {
        return link(daemon).peer().send(body, timeoutMillis);
    }

    private synchronized Link link(DaemonRecord daemon) {
        Link link = mLinks.get(daemon.name());
        if (link == null || link.incarnation() != daemon.incarnation()) {
            if (link != null) {
                link.peer().stop();
            }
            PeerConnection peer =
                    new PeerConnection(
                            mVertx,
                            mClient,
                            mName,
                            mIncarnation,
                            daemon.host(),
                            daemon.port(),
                            mSentBytes);
            link = new Link(daemon.incarnation(), peer);
            mLinks.put(daemon.name(), link);
        }
        return link;
    }

    /** A connection to one incarnation of a daemon. */
    private record Link(long incarnation, PeerConnection peer) {}
}
