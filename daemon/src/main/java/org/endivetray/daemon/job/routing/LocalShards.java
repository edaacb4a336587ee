package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.shard.NotOwnerException;
import org.endivetray.daemon.job.shard.Shard;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.site.SiteCodec;
import org.endivetray.wire.gen.JobReply;
import org.endivetray.wire.gen.JobRequest;

/**
 * Holds the shards that this daemon owns and passes job requests to them.
 *
 * <p>This class is thread-safe; the shards are used on the scheduler's thread only.
 */
public final class LocalShards {
    private final SchedulerExecutor mExecutor;
    private final Map<String, Shard> mShards = new ConcurrentHashMap<>();

    /**
     * Constructs an empty set of shards.
     *
     * @param executor runs work on the scheduler's thread, not null
     */
    public LocalShards(SchedulerExecutor executor) {
        mExecutor = executor;
    }

    /** Adds a shard, replacing an earlier one of its pool. */
    public void put(Shard shard) {
        mShards.put(shard.pool(), shard);
    }

    /** Removes a shard unless another one of its pool has replaced it. */
    public void remove(Shard shard) {
        mShards.remove(shard.pool(), shard);
    }

    /** Returns whether this daemon owns the pool's shard. */
    public boolean owns(String pool) {
        return mShards.containsKey(pool);
    }

    /** Returns the pool's shard, null if this daemon does not own it. */
    public Shard get(String pool) {
        return mShards.get(pool);
    }

    /** Returns all shards that this daemon owns. */
    public Collection<Shard> all() {
        return mShards.values();
    }

    Future<JobReply> handle(JobRequest request) {
        Promise<JobReply> reply = Promise.promise();
        if (!owns(request.getPoolName())) {
            reply.complete(JobMessages.notOwner());
            return reply.future();
        }
        mExecutor.execute(
                () ->
                        dispatch(request)
                                .map(JobMessages::reply)
                                .otherwise(LocalShards::failure)
                                .onComplete(reply));
        return reply.future();
    }

    private Future<JobAnswer> dispatch(JobRequest request) {
        Shard shard = mShards.get(request.getPoolName());
        if (shard == null) {
            return Future.failedFuture(new NotOwnerException(request.getPoolName()));
        }
        QueueConfig queue = JobMessages.queue(request);
        try {
            return switch (request.getAction()) {
                case SUBMIT ->
                        shard.submit(
                                queue,
                                JobMessages.account(request),
                                request.getJobId(),
                                SiteCodec.decodeJob(request.getBody()));
                case STATE -> shard.state(request.getJobId());
                case CANCEL -> shard.cancel(request.getJobId());
                case PENDING -> shard.pending(queue.name());
            };
        } catch (EndivetrayException e) {
            return Future.succeededFuture(JobAnswer.malformed(e.getMessage()));
        }
    }

    private static JobReply failure(Throwable cause) {
        if (cause instanceof NotOwnerException) {
            return JobMessages.notOwner();
        }
        return JobMessages.reply(JobAnswer.unknown(String.valueOf(cause.getMessage())));
    }
}
