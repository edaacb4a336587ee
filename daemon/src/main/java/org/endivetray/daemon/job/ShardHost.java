package org.endivetray.daemon.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.endivetray.daemon.job.fleet.FleetKeeper;
import org.endivetray.daemon.job.front.LocalShards;
import org.endivetray.daemon.job.own.MinionDirectory;
import org.endivetray.daemon.job.own.Ownership;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.shard.Shard;
import org.endivetray.daemon.job.shard.ShardContext;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DurationModel;

/**
 * Runs the shards that this daemon owns, from the moment they are won until they are lost.
 *
 * <p>{@link #isEmpty} is thread-safe; the rest belongs to the scheduler's thread.
 */
final class ShardHost implements Ownership.Listener {
    private final ShardContext mContext;
    private final LocalShards mLocal;
    private final Supplier<Ownership> mOwnership;
    private final FleetKeeper mFleet;
    private final Map<String, DurationModel> mDurations = new HashMap<>();

    ShardHost(
            ShardContext context,
            LocalShards local,
            FleetKeeper fleet,
            Supplier<Ownership> ownership) {
        mContext = context;
        mLocal = local;
        mFleet = fleet;
        mOwnership = ownership;
    }

    @Override
    public void onOwned(String shard, long token) {
        if (shard.equals(FleetKeeper.SHARD)) {
            mFleet.onOwned(new Condition(JobKeys.OWNER_PREFIX + shard, token));
            return;
        }
        mContext.metrics().onTakeover(shard);
        DurationModel durations = mDurations.computeIfAbsent(shard, ignored -> new DurationModel());
        mLocal.put(
                new Shard(
                        mContext,
                        shard,
                        new Condition(JobKeys.OWNER_PREFIX + shard, token),
                        durations,
                        this::onShardLost));
    }

    @Override
    public void onLost(String shard, String reason) {
        if (shard.equals(FleetKeeper.SHARD)) {
            mFleet.onLost();
            return;
        }
        Shard lost = mLocal.get(shard);
        if (lost != null) {
            lost.markLost(reason);
        }
    }

    @Override
    public void onRelease(String shard) {
        if (shard.equals(FleetKeeper.SHARD)) {
            long token = mFleet.token();
            mFleet.onLost();
            mOwnership.get().onReleased(shard, token);
            return;
        }
        Shard released = mLocal.get(shard);
        if (released != null) {
            released.startHandover();
        }
    }

    private void onShardLost(Shard shard) {
        mLocal.remove(shard);
        mOwnership.get().onReleased(shard.pool(), shard.token());
    }

    void onRegistrations(MinionDirectory minions) {
        for (Shard shard : mLocal.all()) {
            shard.onRegistrations(minions.ofPool(shard.pool()));
        }
    }

    void tick(long nowNanos) {
        for (Shard shard : List.copyOf(mLocal.all())) {
            shard.tick(nowNanos);
            if (shard.isHandingOver() && shard.isFlushed() && !shard.isLost()) {
                shard.markLost("handed over");
            }
        }
    }

    boolean isNeeded() {
        return !mLocal.all().isEmpty();
    }

    boolean isEmpty() {
        return mLocal.all().isEmpty();
    }
}
