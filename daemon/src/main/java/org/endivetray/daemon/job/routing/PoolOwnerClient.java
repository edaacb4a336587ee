package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.util.function.Supplier;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.DrainReply;
import org.endivetray.wire.gen.DrainRequest;
import org.endivetray.wire.gen.LoadReply;
import org.endivetray.wire.gen.LoadRequest;
import org.endivetray.wire.gen.MinionGone;

/**
 * Asks the owners of shards, here or on other daemons, about pools and minions.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class PoolOwnerClient {
    private static final long TIMEOUT_MILLIS = 600;

    private final String mName;
    private final Supplier<OwnershipView> mView;
    private final Peers mPeers;
    private final PoolRequestHandler mLocal;

    /**
     * Constructs a client.
     *
     * @param name this daemon's name, not null
     * @param view the view of owners, not null
     * @param peers the other daemons, not null
     * @param local answers for shards of this daemon, not null
     */
    public PoolOwnerClient(
            String name, Supplier<OwnershipView> view, Peers peers, PoolRequestHandler local) {
        mName = name;
        mView = view;
        mPeers = peers;
        mLocal = local;
    }

    /**
     * Asks for a minion to be emptied.
     *
     * @param pool the pool, not null
     * @param minion id of the minion, not null
     * @param isUrgent whether what can be moved is not to be waited for
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
     * Says that a minion has ended; a message that is lost costs only time.
     *
     * @param pool the pool, not null
     * @param minion id of the minion, not null
     */
    public void notifyMinionGone(String pool, String minion) {
        MinionGone gone = new MinionGone(pool, minion);
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(pool).orElse(null);
        if (owner != null && owner.name().equals(mName)) {
            mLocal.onMinionGone(gone);
        } else if (owner != null) {
            mPeers.send(owner, Body.minionGone(gone), TIMEOUT_MILLIS);
        }
    }

    /**
     * Asks for a pool's load.
     *
     * @param pool the pool, not null
     */
    public Future<LoadReply> load(String pool) {
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(pool).orElse(null);
        if (owner == null) {
            return Future.failedFuture("no owner of pool " + pool);
        }
        return owner.name().equals(mName)
                ? mLocal.load(pool)
                : mPeers.send(owner, Body.loadRequest(new LoadRequest(pool)), TIMEOUT_MILLIS)
                        .map(Body::getLoadReply);
    }
}
