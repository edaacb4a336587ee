package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.util.function.Supplier;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.peer.PeerClient;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.DrainReply;
import org.endivetray.wire.gen.DrainRequest;
import org.endivetray.wire.gen.LoadReply;
import org.endivetray.wire.gen.LoadRequest;
import org.endivetray.wire.gen.MinionGone;

/**
 * Sends requests about pools and their minions to the owners of the pools' shards, on this daemon
 * or another.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class PoolOwnerClient {
    private static final long TIMEOUT_MILLIS = 600;

    private final String mName;
    private final Supplier<OwnershipView> mView;
    private final PeerClient mPeers;
    private final PoolRequestHandler mLocal;

    /**
     * Constructs a client.
     *
     * @param name this daemon's name, not null
     * @param view supplies the live daemons and the shards' owners, not null
     * @param peers the other daemons, not null
     * @param local answers for the shards that this daemon owns, not null
     */
    public PoolOwnerClient(
            String name, Supplier<OwnershipView> view, PeerClient peers, PoolRequestHandler local) {
        mName = name;
        mView = view;
        mPeers = peers;
        mLocal = local;
    }

    /**
     * Requests that a minion be drained. The reply says whether it is empty, and which incarnation
     * is.
     *
     * @param pool the pool, not null
     * @param minion id of the minion, not null
     * @param isUrgent whether tasks that are not long-running are stopped too instead of left to
     *     end
     */
    public Future<DrainReply> drain(String pool, String minion, boolean isUrgent) {
        DrainRequest request = new DrainRequest(pool, minion, isUrgent);
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(pool).orElse(null);
        if (owner == null) {
            return Future.succeededFuture(new DrainReply(false, false));
        }
        return owner.name().equals(mName)
                ? mLocal.drain(request)
                : mPeers.send(owner, Body.drainRequest(request), TIMEOUT_MILLIS)
                        .map(Body::getDrainReply);
    }

    /**
     * Notifies the owner of a pool that an incarnation of a minion has terminated. The message is
     * not repeated; if it is lost, the owner learns of the termination later by itself.
     *
     * @param pool the pool, not null
     * @param minion id of the minion, not null
     * @param incarnationMillis start of the incarnation, in milliseconds since 1970
     */
    public void notifyMinionTerminated(String pool, String minion, long incarnationMillis) {
        MinionGone termination =
                new MinionGone(pool, minion).setIncarnationMillis(incarnationMillis);
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(pool).orElse(null);
        if (owner != null && owner.name().equals(mName)) {
            mLocal.handleTermination(termination);
        } else if (owner != null) {
            mPeers.send(owner, Body.minionGone(termination), TIMEOUT_MILLIS);
        }
    }

    /**
     * Requests a pool's load.
     *
     * @param pool the pool, not null
     */
    public Future<LoadReply> load(String pool) {
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(pool).orElse(null);
        if (owner == null) {
            return Future.failedFuture("no live owner of the shard of pool " + pool);
        }
        return owner.name().equals(mName)
                ? mLocal.load(pool)
                : mPeers.send(owner, Body.loadRequest(new LoadRequest(pool)), TIMEOUT_MILLIS)
                        .map(Body::getLoadReply);
    }
}
