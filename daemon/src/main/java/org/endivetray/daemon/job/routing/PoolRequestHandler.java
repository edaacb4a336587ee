package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.OptionalLong;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.shard.Shard;
import org.endivetray.policy.job.PoolLoad;
import org.endivetray.wire.gen.DrainReply;
import org.endivetray.wire.gen.DrainRequest;
import org.endivetray.wire.gen.LoadReply;
import org.endivetray.wire.gen.MinionGone;

/**
 * Answers requests for the load of pools whose shards this daemon owns, and requests to drain their
 * minions.
 *
 * <p>This class is thread-safe.
 */
public final class PoolRequestHandler {
    private final LocalShards mLocal;
    private final SchedulerExecutor mExecutor;

    /**
     * Constructs a handler.
     *
     * @param local the shards that this daemon owns, not null
     * @param executor runs work on the scheduler's thread, not null
     */
    public PoolRequestHandler(LocalShards local, SchedulerExecutor executor) {
        mLocal = local;
        mExecutor = executor;
    }

    /**
     * Notifies the shard of a minion's pool that an incarnation of the minion has terminated, if
     * this daemon owns the shard.
     *
     * @param termination names the minion, its pool and its incarnation, not null
     */
    public void handleTermination(MinionGone termination) {
        mExecutor.execute(
                () -> {
                    Shard shard = mLocal.get(termination.getPoolName());
                    if (shard != null) {
                        shard.onMinionTerminated(
                                termination.getMinion(), termination.getIncarnationMillis());
                    }
                });
    }

    /**
     * Returns the load of a pool, or a reply that this daemon does not own the pool's shard or has
     * not loaded it yet.
     *
     * @param pool the pool, not null
     */
    public Future<LoadReply> load(String pool) {
        Promise<LoadReply> reply = Promise.promise();
        mExecutor.execute(
                () -> {
                    Shard shard = mLocal.get(pool);
                    reply.complete(
                            shard == null || !shard.isLoaded()
                                    ? new LoadReply(false, 0, 0, 0, List.of(), List.of(), 0)
                                    : toReply(shard.poolLoad()));
                });
        return reply.future();
    }

    private static LoadReply toReply(PoolLoad load) {
        return new LoadReply(
                true,
                load.waitingCpuMillis(),
                load.usedCpuMillis(),
                load.totalCpuMillis(),
                load.emptyMinions(),
                load.pinnedMinions(),
                load.wantedMinions());
    }

    /**
     * Requests that a minion be drained, and returns whether it is empty and whether this daemon
     * owns its pool's shard and has loaded it.
     *
     * @param request the request, not null
     */
    public Future<DrainReply> drain(DrainRequest request) {
        Promise<DrainReply> reply = Promise.promise();
        mExecutor.execute(
                () -> {
                    Shard shard = mLocal.get(request.getPoolName());
                    boolean isOwner = shard != null && shard.isLoaded();
                    OptionalLong emptyIncarnation =
                            isOwner
                                    ? shard.drain(request.getMinion(), request.isIsUrgent())
                                    : OptionalLong.empty();
                    reply.complete(
                            new DrainReply(isOwner, emptyIncarnation.isPresent())
                                    .setIncarnationMillis(emptyIncarnation.orElse(0)));
                });
        return reply.future();
    }
}
