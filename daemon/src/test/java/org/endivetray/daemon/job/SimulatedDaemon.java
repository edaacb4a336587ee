package org.endivetray.daemon.job;

import java.util.Random;
import java.util.Set;
import org.endivetray.daemon.job.ownership.MinionDirectory;
import org.endivetray.daemon.job.ownership.OwnershipManager;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.ownership.OwnershipWatch;
import org.endivetray.daemon.job.relay.RelayingStore;
import org.endivetray.daemon.job.relay.StoreCallHandler;
import org.endivetray.daemon.job.relay.StorePeers;
import org.endivetray.daemon.job.routing.JobRouter;
import org.endivetray.daemon.job.routing.LocalShards;
import org.endivetray.daemon.job.routing.PeerMessageHandler;
import org.endivetray.daemon.job.routing.PoolRequestHandler;
import org.endivetray.daemon.job.shard.MemoryUse;
import org.endivetray.daemon.job.shard.ShardContext;
import org.endivetray.daemon.job.shard.ShardLimits;
import org.endivetray.daemon.job.virtual.MinionLink;
import org.endivetray.daemon.job.virtual.PeerLink;
import org.endivetray.daemon.job.virtual.PlatformMinions;
import org.endivetray.daemon.job.virtual.StoreLink;
import org.endivetray.daemon.job.virtual.VirtualProcess;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccounts;
import org.endivetray.wire.gen.MinionGone;

/**
 * One life of a whole daemon on a virtual clock, composed as {@link JobDaemon} composes it, but for
 * the fleet and the sockets.
 *
 * <p>This class is not thread-safe.
 */
final class SimulatedDaemon {
    private static final long TICK_MILLIS = 10;
    private static final long SETTLE_MILLIS = 400;
    private static final long LOAD_BALANCER_MILLIS = 2_500;
    private static final long GRACE_MILLIS = 8_000;
    private static final long RETENTION_MILLIS = 120_000;
    private static final long SILENCE_MILLIS = 3_000;
    private static final int CPU_MILLIS = 1_000;

    private final DaemonWorld mWorld;
    private final VirtualProcess mProcess;
    private final StoreLink mStoreLink;
    private final MinionLink mMinionLink;
    private final PeerLink mPeerLink;
    private final OwnershipWatch mOwners;
    private final MinionDirectory mMinions;
    private final OwnershipManager mOwnership;
    private final ShardLifecycle mShards;
    private final JobRouter mRouter;
    private final PoolRequestHandler mPools;
    private final PeerMessageHandler mHandler;
    private long mStopMillis;

    /** Constructs a daemon that begins to run at once. */
    SimulatedDaemon(DaemonWorld world, String name) {
        mWorld = world;
        mProcess = new VirtualProcess(world.clock(), world.delays(), name);
        mStoreLink = new StoreLink(world.clock(), world.store(), mProcess, world.delays());
        mMinionLink = new MinionLink(world.clock(), world.minions(), mProcess, world.delays());
        mPeerLink = new PeerLink(world.clock(), mProcess, world.delays(), world::peer);
        long incarnation = world.clock().currentTimeMillis();
        StoreWatch.Timing timing = StoreWatch.Timing.ofSilence(SILENCE_MILLIS);
        LocalShards local = new LocalShards(mProcess);
        RelayingStore store =
                new RelayingStore(
                        mStoreLink,
                        new StorePeers(
                                name,
                                this::view,
                                mPeerLink,
                                mProcess::nanoTime,
                                new Random(name.hashCode())),
                        mProcess::nanoTime);
        mOwners = new OwnershipWatch(store, mProcess, timing, () -> {});
        mPools = new PoolRequestHandler(local, mProcess);
        JobMetrics metrics = new JobMetrics();
        ShardContext context =
                new ShardContext(
                        store,
                        mMinionLink,
                        null,
                        mProcess,
                        new MemoryUse(),
                        () -> ownership().mayAct(),
                        metrics,
                        new ShardLimits(
                                DaemonWorld.MAX_LEASE_MILLIS,
                                PlatformMinions.STOP_MILLIS,
                                RETENTION_MILLIS,
                                timing),
                        () -> ClientAccounts.NONE);
        mShards = new ShardLifecycle(context, local, null, this::ownership, this::minions);
        mMinions =
                new MinionDirectory(
                        store, mProcess, timing, mShards::hasShards, this::onRegistrations);
        mRouter =
                new JobRouter(
                        name,
                        world::config,
                        mOwners::view,
                        local,
                        mPeerLink,
                        store,
                        store::isIsolated,
                        metrics);
        mHandler = new PeerMessageHandler(mRouter, mPools, new StoreCallHandler(store));
        mOwnership =
                new OwnershipManager(
                        store,
                        mProcess,
                        mOwners,
                        new OwnershipView.DaemonRecord(
                                name, name, 1, incarnation, CPU_MILLIS, false),
                        store::isAway,
                        SETTLE_MILLIS,
                        mShards);
        setWantedPools(world.wantedPools());
        mOwners.start();
        mProcess.schedule(TICK_MILLIS, this::tick);
    }

    private OwnershipManager ownership() {
        return mOwnership;
    }

    private MinionDirectory minions() {
        return mMinions;
    }

    private void onRegistrations() {
        mShards.onRegistrations();
    }

    private OwnershipView view() {
        return mOwners.view();
    }

    private void tick() {
        if (mOwners.view().revision() > 0) {
            mOwnership.tick(mProcess.nanoTime());
        }
        mMinions.ensureRunning();
        mShards.tick(mProcess.nanoTime());
        if (mStopMillis > 0) {
            long stopping = mWorld.clock().millis() - mStopMillis;
            boolean isDone = mShards.isEmpty() && stopping >= LOAD_BALANCER_MILLIS;
            if (isDone || stopping >= GRACE_MILLIS) {
                mProcess.kill();
                return;
            }
        }
        mProcess.schedule(TICK_MILLIS, this::tick);
    }

    /** Begins a graceful stop, after which the process ends. */
    void stop() {
        if (mStopMillis > 0) {
            return;
        }
        mStopMillis = mWorld.clock().millis();
        mRouter.markStopping();
        mProcess.execute(mOwnership::stop);
    }

    /** Sets the pools that need an owner, besides those with stored jobs. */
    void setWantedPools(Set<String> pools) {
        mOwnership.setWantedShards(pools, "");
    }

    /** Begins to hand the pool's shard over, as a daemon does that owns too many. */
    void release() {
        mOwnership.release(DaemonWorld.POOL);
    }

    /** Tells the daemon that a minion was ended by order. */
    void onTerminated(String minion, long bornMillis) {
        mProcess.arrive(
                () ->
                        mPools.handleTermination(
                                new MinionGone(DaemonWorld.POOL, minion)
                                        .setIncarnationMillis(bornMillis)));
    }

    String name() {
        return mProcess.name();
    }

    VirtualProcess process() {
        return mProcess;
    }

    StoreLink storeLink() {
        return mStoreLink;
    }

    MinionLink minionLink() {
        return mMinionLink;
    }

    PeerLink peerLink() {
        return mPeerLink;
    }

    JobRouter router() {
        return mRouter;
    }

    /** Returns the daemon as others reach it. */
    PeerLink.Peer peer() {
        return new PeerLink.Peer(mProcess, mHandler);
    }

    /** Returns whether it owns the pool's shard, as far as it knows. */
    boolean isOwner() {
        return !mProcess.isDead() && mShards.hasShards();
    }
}
