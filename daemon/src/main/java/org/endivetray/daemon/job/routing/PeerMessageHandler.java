package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import org.endivetray.daemon.job.relay.StoreCallHandler;
import org.endivetray.wire.MessageHandler;
import org.endivetray.wire.gen.Body;

/**
 * Dispatches messages from other daemons to the handlers that answer them.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class PeerMessageHandler implements MessageHandler {
    private final JobRouter mRouter;
    private final PoolRequestHandler mPools;
    private final StoreCallHandler mStoreCalls;

    /**
     * Constructs a handler.
     *
     * @param router answers job requests, not null
     * @param pools answers requests about pools, not null
     * @param storeCalls makes calls of the shared store for other daemons, not null
     */
    public PeerMessageHandler(
            JobRouter router, PoolRequestHandler pools, StoreCallHandler storeCalls) {
        mRouter = router;
        mPools = pools;
        mStoreCalls = storeCalls;
    }

    @Override
    public Future<Body> handle(String sender, long incarnation, Body body) {
        if (body.isSetJobRequest()) {
            return mRouter.onRequest(body.getJobRequest());
        }
        if (body.isSetDrainRequest()) {
            return mPools.drain(body.getDrainRequest()).map(Body::drainReply);
        }
        if (body.isSetLoadRequest()) {
            return mPools.load(body.getLoadRequest().getPoolName()).map(Body::loadReply);
        }
        if (body.isSetMinionGone()) {
            mPools.handleTermination(body.getMinionGone());
            return Future.succeededFuture(body);
        }
        if (body.isSetStoreCall()) {
            return mStoreCalls.handle(body.getStoreCall()).map(Body::storeReply);
        }
        return Future.failedFuture("unknown message type");
    }
}
