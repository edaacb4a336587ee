package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.shard.Shard;
import org.endivetray.policy.job.PoolLoad;
import org.endivetray.wire.gen.DrainReply;
import org.endivetray.wire.gen.DrainRequest;
import org.endivetray.wire.gen.LoadReply;
import org.endivetray.wire.gen.MinionGone;

/**
 * Tells the load of the shards that this daemon owns and empties their minions.
 *
 * <p>This class is thread-safe.
 */
public final class PoolRequestHandler {
    private final LocalShards mLocal;
    private final SchedulerExecutor mCalls;

    /**
     * Constructs an answerer.
     *
     * @param local the shards that this daemon owns, not null
     * @param calls runs work on the scheduler's thread, not null
     */
    public PoolRequestHandler(LocalShards local, SchedulerExecutor calls) {
        mLocal = local;
        mCalls = calls;
    }

    /**
     * Tells the owner of a shard on this daemon that a minion has ended.
     *
     * @param gone the minion, not null
     */
    public void onMinionGone(MinionGone gone) {
        mCalls.execute(
                () -> {
                    Shard shard = mLocal.get(gone.getPoolName());
                    if (shard != null) {
                        shard.onMinionTerminated(gone.getMinion());
                    }
                });
    }

    /**
     * Tells the load of a pool whose shard this daemon owns.
     *
     * @param pool the pool, not null
     */
    public Future<LoadReply> load(String pool) {
        Promise<LoadReply> reply = Promise.promise();
        mCalls.execute(
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
     * Asks the owner of a shard on this daemon to empty a minion.
     *
     * @param request the request, not null
     */
    public Future<DrainReply> drain(DrainRequest request) {
        Promise<DrainReply> reply = Promise.promise();
        mCalls.execute(
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
