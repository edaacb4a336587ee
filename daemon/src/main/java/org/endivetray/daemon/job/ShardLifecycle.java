package org.endivetray.daemon.job;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.endivetray.daemon.job.fleet.FleetManager;
import org.endivetray.daemon.job.ownership.MinionDirectory;
import org.endivetray.daemon.job.ownership.OwnershipManager;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.routing.LocalShards;
import org.endivetray.daemon.job.shard.Shard;
import org.endivetray.daemon.job.shard.ShardContext;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.FarFactor;

/**
 * Creates the shards that this daemon acquires, runs their timed work and removes them once they
 * are lost or released.
 *
 * <p>Only {@link #isEmpty} is thread-safe; all other methods belong to the scheduler's thread.
 */
final class ShardLifecycle implements OwnershipManager.Listener {
    private static final Logger LOGGER = System.getLogger(ShardLifecycle.class.getName());

    private final ShardContext mContext;
    private final LocalShards mLocal;
    private final Supplier<OwnershipManager> mOwnership;
    private final FleetManager mFleet;
    private final Supplier<MinionDirectory> mMinions;
    private final Map<String, DurationModel> mDurations = new HashMap<>();

    ShardLifecycle(
            ShardContext context,
            LocalShards local,
            FleetManager fleet,
            Supplier<OwnershipManager> ownership,
            Supplier<MinionDirectory> minions) {
        mContext = context;
        mLocal = local;
        mFleet = fleet;
        mOwnership = ownership;
        mMinions = minions;
    }

    @Override
    public void onAcquired(String shard, long token) {
        if (shard.equals(FleetManager.SHARD)) {
            mFleet.onAcquired(new Condition(JobKeys.OWNER_PREFIX + shard, token));
            return;
        }
        mContext.metrics().onTakeover(shard);
        DurationModel durations =
                mDurations.computeIfAbsent(
                        shard,
                        ignored ->
                                new DurationModel(
                                        FarFactor.configured(mContext.limits().farFactor())));
        Shard acquired =
                new Shard(
                        mContext,
                        shard,
                        new Condition(JobKeys.OWNER_PREFIX + shard, token),
                        durations,
                        this::onShardLost);
        // Without shards the registrations are not followed; they are listed again after this one.
        acquired.onRegistrations(mMinions.get().ofPool(shard));
        mLocal.put(acquired);
    }

    @Override
    public void onLost(String shard, String reason) {
        if (shard.equals(FleetManager.SHARD)) {
            mFleet.onLost();
            return;
        }
        Shard lost = mLocal.get(shard);
        if (lost != null) {
            lost.markLost(reason);
        }
    }

    @Override
    public void onReleaseRequested(String shard) {
        if (shard.equals(FleetManager.SHARD)) {
            long token = mFleet.token();
            mFleet.onLost();
            mOwnership.get().completeRelease(shard, token);
            return;
        }
        Shard released = mLocal.get(shard);
        if (released != null) {
            released.startHandover();
        }
    }

    private void onShardLost(Shard shard) {
        mLocal.remove(shard);
        mOwnership.get().completeRelease(shard.pool(), shard.token());
    }

    /** Hands the present registrations to the shards after they have changed. */
    void onRegistrations() {
        for (Shard shard : mLocal.all()) {
            shard.onRegistrations(mMinions.get().ofPool(shard.pool()));
        }
    }

    void tick(long nowNanos) {
        for (Shard shard : List.copyOf(mLocal.all())) {
            tick(shard, nowNanos);
        }
    }

    /** Runs the timed work of a shard; an unexpected error does not affect the other shards. */
    private static void tick(Shard shard, long nowNanos) {
        try {
            shard.tick(nowNanos);
            if (shard.isHandingOver() && shard.isFlushed() && !shard.isLost()) {
                shard.markLost("handed over");
            }
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "shard: unexpected error pool=" + shard.pool(), e);
        }
    }

    boolean hasShards() {
        return !mLocal.all().isEmpty();
    }

    boolean isEmpty() {
        return mLocal.all().isEmpty();
    }
}
