package org.endivetray.daemon.job;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.job.fleet.FleetContext;
import org.endivetray.daemon.job.fleet.FleetManager;
import org.endivetray.daemon.job.ownership.MinionDirectory;
import org.endivetray.daemon.job.ownership.OwnershipManager;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.ownership.OwnershipWatch;
import org.endivetray.daemon.job.ownership.SiteWatch;
import org.endivetray.daemon.job.routing.JobRouter;
import org.endivetray.daemon.job.routing.LocalShards;
import org.endivetray.daemon.job.routing.PeerMessageHandler;
import org.endivetray.daemon.job.routing.Peers;
import org.endivetray.daemon.job.routing.PoolOwnerClient;
import org.endivetray.daemon.job.routing.PoolRequestHandler;
import org.endivetray.daemon.job.shard.ShardContext;
import org.endivetray.daemon.job.shard.ShardLimits;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.daemon.observe.LogSetup;
import org.endivetray.job.SiteConfig;
import org.endivetray.platform.PlacementAdvisor;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.site.SiteHttpServer;
import org.endivetray.platform.site.SiteMinionOrders;
import org.endivetray.platform.site.SitePlacementAdvisor;
import org.endivetray.platform.site.SiteStore;
import org.endivetray.platform.site.SiteWorkerAdmin;
import org.endivetray.wire.PeerServer;

/**
 * One daemon that takes jobs in and schedules the shards that it owns.
 *
 * <p>A stop is graceful: the daemon says that it is not ready, hands its shards over, answers what
 * it has received and leaves.
 *
 * <p>Invariants: all decisions are made on the scheduler's thread.
 *
 * <p>This class is thread-safe.
 */
public final class JobDaemon {
    private static final Logger LOGGER = System.getLogger(JobDaemon.class.getName());
    private static final int RING_ENTRIES = 16_384;
    private static final long TICK_MILLIS = 10;

    /** Time limit of a store call. Far above its usual answer, well under a caller's patience. */
    private static final long STORE_TIMEOUT_MILLIS = 900;

    /** Time for other daemons to register at the first start of the whole system. */
    private static final long BOOTSTRAP_SETTLE_MILLIS = 1_500;

    /** Time for other daemons to register after a restart. */
    private static final long RESTART_SETTLE_MILLIS = 400;

    /** Time that the balancer needs to send new connections elsewhere. Two checks and a half. */
    private static final long BALANCER_MILLIS = 2_500;

    /** Left of the grace period for the end of the process itself. */
    private static final long EXIT_MARGIN_MILLIS = 1_000;

    private static final long STOP_POLL_MILLIS = 20;

    private final JobSettings mSettings;
    private final Vertx mVertx;
    private final Duty mScheduler;
    private final DutyExecutor mCalls;
    private final SharedStore mStore;
    private final SiteWatch mSite;
    private final OwnershipWatch mLive;
    private final MinionDirectory mMinions;
    private final OwnershipManager mOwnership;
    private final ShardLifecycle mShards;
    private final FleetManager mFleet;
    private final JobRouter mRouter;
    private final SiteHttpServer mFront;
    private final PeerServer mInner;
    private final MetricsServer mMetricsServer;

    /**
     * Constructs a daemon that has not been started.
     *
     * @param settings the checked settings, not null
     */
    public JobDaemon(JobSettings settings) {
        mSettings = settings;
        long incarnation = System.currentTimeMillis();
        mVertx = newVertx();
        mScheduler = new Duty("scheduler", RING_ENTRIES, TICK_MILLIS, this::tick);
        mCalls = new DutyExecutor(mVertx, mScheduler);
        mStore =
                new SiteStore(
                        mVertx,
                        settings.store().host(),
                        settings.store().port(),
                        STORE_TIMEOUT_MILLIS);
        JobMetrics metrics = new JobMetrics();
        LocalShards local = new LocalShards(mCalls);
        Peers peers = new Peers(mVertx, settings.name(), incarnation);
        mSite = new SiteWatch(mStore, mCalls, this::onSiteChange);
        mLive = new OwnershipWatch(mStore, mCalls, () -> {});
        PoolRequestHandler innerJobs = new PoolRequestHandler(local, mCalls);
        mFleet =
                new FleetManager(
                        new FleetContext(
                                settings.name(),
                                mStore,
                                new SiteWorkerAdmin(
                                        mVertx,
                                        settings.machines().host(),
                                        settings.machines().port()),
                                new PoolOwnerClient(settings.name(), mLive::view, peers, innerJobs),
                                mCalls,
                                this::hasJobs,
                                () -> ownership().isLeaseValid(),
                                settings.holderMillis()),
                        mSite);
        mShards = new ShardLifecycle(shardContext(metrics), local, mFleet, this::ownership);
        mMinions = new MinionDirectory(mStore, mCalls, mShards::hasShards, this::onMinions);
        mRouter =
                new JobRouter(
                        settings.name(), mSite::config, mLive::view, local, peers, mStore, metrics);
        mFront = new SiteHttpServer(mVertx, mRouter);
        mInner =
                new PeerServer(
                        mVertx,
                        settings.name(),
                        incarnation,
                        new PeerMessageHandler(mRouter, innerJobs));
        mMetricsServer = new MetricsServer(mVertx, metrics);
        mOwnership =
                new OwnershipManager(
                        mStore,
                        mCalls,
                        mLive,
                        self(settings, incarnation),
                        settings.isBootstrap() ? BOOTSTRAP_SETTLE_MILLIS : RESTART_SETTLE_MILLIS,
                        mShards);
    }

    private static OwnershipView.DaemonRecord self(JobSettings settings, long incarnation) {
        return new OwnershipView.DaemonRecord(
                settings.name(),
                settings.host(),
                settings.innerPort(),
                incarnation,
                settings.cpuMillis(),
                false);
    }

    private static Vertx newVertx() {
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1));
    }

    private ShardContext shardContext(JobMetrics metrics) {
        JobSettings.Address advice = mSettings.advice();
        PlacementAdvisor placement =
                advice == null
                        ? null
                        : new SitePlacementAdvisor(mVertx, advice.host(), advice.port());
        return new ShardContext(
                mStore,
                new SiteMinionOrders(mVertx),
                placement,
                mCalls,
                metrics,
                new ShardLimits(mSettings.maxLeaseMillis(), mSettings.retentionMillis()));
    }

    private boolean hasJobs(String pool) {
        SiteConfig config = mSite.config();
        return config != null
                && config.queues().stream().anyMatch(queue -> queue.pool().equals(pool));
    }

    private OwnershipManager ownership() {
        return mOwnership;
    }

    /** Starts everything. */
    public void start() {
        LOGGER.log(
                Level.INFO,
                "daemon: starting name={0} zone={1} bootstrap={2}",
                mSettings.name(),
                mSettings.zone(),
                mSettings.isBootstrap());
        mScheduler.start();
        Future<Integer> inner = mInner.start(mSettings.host(), mSettings.innerPort());
        Future<Void> front =
                mFront.start(mSettings.host(), mSettings.frontPort(), mSettings.readyPort());
        Future<Void> metrics = mMetricsServer.start(mSettings.host(), mSettings.metricsPort());
        Future.all(inner, front, metrics)
                .onSuccess(
                        ignored ->
                                LOGGER.log(
                                        Level.INFO,
                                        "daemon: listens front={0} inner={1}",
                                        Integer.toString(mFront.frontPort()),
                                        Integer.toString(inner.result())))
                .onFailure(cause -> LOGGER.log(Level.ERROR, "daemon: cannot listen {0}", cause));
        mCalls.execute(
                () -> {
                    mSite.start();
                    mLive.start();
                });
    }

    private void onSiteChange() {
        SiteConfig config = mSite.config();
        if (config == null) {
            return;
        }
        Set<String> wanted = new TreeSet<>(Set.of(FleetManager.SHARD));
        config.queues().forEach(queue -> wanted.add(queue.pool()));
        mOwnership.setWantedShards(wanted);
    }

    private void onMinions() {
        mShards.onRegistrations(mMinions);
    }

    private void tick() {
        long now = System.nanoTime();
        if (mLive.view().revision() > 0) {
            mOwnership.tick(now);
        }
        mMinions.ensureRunning();
        mShards.tick(now);
        mFleet.tick(now);
        boolean canServe = mSite.config() != null && mLive.view().revision() > 0;
        mRouter.setReady(canServe);
    }

    /** Stops gracefully; returns when the process may end. */
    public void stop() {
        LOGGER.log(Level.INFO, "daemon: stopping name={0}", mSettings.name());
        long start = System.nanoTime();
        mRouter.markStopping();
        mCalls.execute(
                () -> {
                    mOwnership.stop();
                    mOwnership.ownedShards().forEach(mOwnership::release);
                });
        long latest =
                start + TimeUnit.MILLISECONDS.toNanos(mSettings.graceMillis() - EXIT_MARGIN_MILLIS);
        long earliest = start + TimeUnit.MILLISECONDS.toNanos(BALANCER_MILLIS);
        while (System.nanoTime() - latest < 0) {
            boolean isDone = mShards.isEmpty() && mFront.openRequests() == 0;
            if (isDone && System.nanoTime() - earliest >= 0) {
                break;
            }
            pause();
        }
        LOGGER.log(
                Level.INFO,
                "daemon: stopped name={0} open={1}",
                mSettings.name(),
                Integer.toString(mFront.openRequests()));
        LogSetup.flush();
        Runtime.getRuntime().halt(0);
    }

    private static void pause() {
        try {
            Thread.sleep(STOP_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
