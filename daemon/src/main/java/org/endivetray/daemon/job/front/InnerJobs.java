package org.endivetray.daemon.job.front;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.endivetray.daemon.job.DutyCalls;
import org.endivetray.daemon.job.shard.Shard;
import org.endivetray.wire.InnerHandler;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.DrainReply;
import org.endivetray.wire.gen.DrainRequest;

/**
 * Answers other daemons' messages about jobs and minions.
 *
 * <p>This class is thread-safe.
 */
public final class InnerJobs implements InnerHandler {
    private final JobRouter mRouter;
    private final LocalShards mLocal;
    private final DutyCalls mCalls;

    /**
     * Constructs a handler.
     *
     * @param router answers requests about jobs, not null
     * @param local the shards that this daemon owns, not null
     * @param calls runs work on the scheduler's thread, not null
     */
    public InnerJobs(JobRouter router, LocalShards local, DutyCalls calls) {
        mRouter = router;
        mLocal = local;
        mCalls = calls;
    }

    @Override
    public Future<Body> handle(String sender, long incarnation, Body body) {
        if (body.isSetJobRequest()) {
            return mRouter.onRequest(body.getJobRequest());
        }
        if (body.isSetDrainRequest()) {
            return drain(body.getDrainRequest()).map(Body::drainReply);
        }
        return Future.failedFuture("unknown message");
    }

    /**
     * Asks the owner of a shard on this daemon to empty a minion.
     *
     * @param request the request, not null
     */
    public Future<DrainReply> drain(DrainRequest request) {
        Promise<DrainReply> reply = Promise.promise();
        mCalls.run(
                () -> {
                    Shard shard = mLocal.get(request.getPoolName());
                    boolean isOwner = shard != null && shard.isLoaded();
                    boolean isEmpty =
                            isOwner && shard.drain(request.getMinion(), request.isIsUrgent());
                    reply.complete(new DrainReply(isOwner, isEmpty));
                });
        return reply.future();
    }
}
