package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import org.endivetray.wire.MessageHandler;
import org.endivetray.wire.gen.Body;

/**
 * Hands other daemons' messages to those that answer them.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class PeerMessageHandler implements MessageHandler {
    private final JobRouter mRouter;
    private final PoolRequestHandler mJobs;

    /**
     * Constructs a handler.
     *
     * @param router answers requests about jobs, not null
     * @param jobs answers requests about shards, not null
     */
    public PeerMessageHandler(JobRouter router, PoolRequestHandler jobs) {
        mRouter = router;
        mJobs = jobs;
    }

    @Override
    public Future<Body> handle(String sender, long incarnation, Body body) {
        if (body.isSetJobRequest()) {
            return mRouter.onRequest(body.getJobRequest());
        }
        if (body.isSetDrainRequest()) {
            return mJobs.drain(body.getDrainRequest()).map(Body::drainReply);
        }
        if (body.isSetLoadRequest()) {
            return mJobs.load(body.getLoadRequest().getPoolName()).map(Body::loadReply);
        }
        if (body.isSetMinionGone()) {
            mJobs.onMinionGone(body.getMinionGone());
            return Future.succeededFuture(body);
        }
        return Future.failedFuture("unknown message");
    }
}
