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
import org.endivetray.daemon.intake.AcceptLimits;
import org.endivetray.daemon.job.fleet.FleetContext;
import org.endivetray.daemon.job.fleet.FleetManager;
import org.endivetray.daemon.job.ownership.MinionDirectory;
import org.endivetray.daemon.job.ownership.OwnershipManager;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.ownership.OwnershipWatch;
import org.endivetray.daemon.job.ownership.SiteWatch;
import org.endivetray.daemon.job.peer.Peers;
import org.endivetray.daemon.job.relay.RelayingStore;
import org.endivetray.daemon.job.relay.StoreCallHandler;
import org.endivetray.daemon.job.relay.StorePeers;
import org.endivetray.daemon.job.routing.JobRouter;
import org.endivetray.daemon.job.routing.LocalShards;
import org.endivetray.daemon.job.routing.PeerMessageHandler;
import org.endivetray.daemon.job.routing.PoolOwnerClient;
import org.endivetray.daemon.job.routing.PoolRequestHandler;
import org.endivetray.daemon.job.shard.MemoryUse;
import org.endivetray.daemon.job.shard.ShardContext;
import org.endivetray.daemon.job.shard.ShardLimits;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.daemon.observe.LogSetup;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.SiteConfig;
import org.endivetray.platform.PlacementAdvisor;
import org.endivetray.platform.intake.IntakeLog;
import org.endivetray.platform.site.SiteHttpServer;
import org.endivetray.platform.site.SiteMinionOrders;
import org.endivetray.platform.site.SitePlacementAdvisor;
import org.endivetray.platform.site.SiteStore;
import org.endivetray.platform.site.SiteWorkerAdmin;
import org.endivetray.policy.intake.IntakeLimits;
import org.endivetray.wire.PeerServer;

/**
 * A daemon that accepts jobs and schedules the shards that it owns.
 *
 * <p>A stop is graceful: the daemon reports that it is not ready, hands its shards over, answers
 * the requests that it has received and exits.
 *
 * <p>Invariants: all decisions are made on the scheduler's thread.
 *
 * <p>This class is thread-safe.
 */
public final class JobDaemon {
    private static final Logger LOGGER = System.getLogger(JobDaemon.class.getName());
    private static final int RING_ENTRIES = 16_384;
    private static final long TICK_MILLIS = 10;

    /**
     * Time limit of a store call, far above its usual latency and well below a caller's timeout.
     */
    private static final long STORE_MAX_MILLIS = 900;

    /**
     * Delay before free shards are claimed at the first start of the whole system, so that other
     * daemons can register.
     */
    private static final long BOOTSTRAP_SETTLE_MILLIS = 1_500;

    /** Delay before free shards are claimed after a restart, so that other daemons can register. */
    private static final long RESTART_SETTLE_MILLIS = 400;

    /**
     * Time that the load balancer takes to stop sending new connections, two and a half of its
     * readiness checks.
     */
    private static final long LOAD_BALANCER_MILLIS = 2_500;

    /** Part of the grace period that is left for the exit of the process. */
    private static final long EXIT_MARGIN_MILLIS = 1_000;

    private static final long STOP_POLL_MILLIS = 20;

    private final JobSettings mSettings;
    private final AcceptLimits mAcceptLimits = new AcceptLimits();
    private final Vertx mVertx;
    private final Duty mScheduler;
    private final DutyExecutor mExecutor;
    private final RelayingStore mStore;
    private final StoreWatch.Timing mWatchTiming;
    private final SiteWatch mSite;
    private final OwnershipWatch mOwners;
    private final MinionDirectory mMinions;
    private final OwnershipManager mOwnership;
    private final ShardLifecycle mShards;
    private final FleetManager mFleet;
    private final JobRouter mRouter;
    private final SiteHttpServer mHttpServer;
    private final PeerServer mPeerServer;
    private final MetricsServer mMetricsServer;
    private final ErrorBoundary mBoundary;

    /**
     * Constructs a daemon that has not been started.
     *
     * @param settings the validated settings, not null
     */
    public JobDaemon(JobSettings settings) {
        mSettings = settings;
        long incarnation = System.currentTimeMillis();
        mVertx = newVertx();
        mScheduler = new Duty("scheduler", RING_ENTRIES, TICK_MILLIS, this::tick);
        mExecutor = new DutyExecutor(mVertx, mScheduler);
        JobMetrics metrics = new JobMetrics();
        LocalShards local = new LocalShards(mExecutor);
        Peers peers = new Peers(mVertx, settings.name(), incarnation);
        mStore = relayingStore(peers);
        mWatchTiming = StoreWatch.Timing.ofSilence(settings.silenceMillis());
        mSite = new SiteWatch(mStore, mExecutor, mWatchTiming, this::onSiteChange);
        mOwners = new OwnershipWatch(mStore, mExecutor, mWatchTiming, () -> {});
        PoolRequestHandler pools = new PoolRequestHandler(local, mExecutor);
        mFleet =
                new FleetManager(
                        new FleetContext(
                                settings.name(),
                                mStore,
                                new SiteWorkerAdmin(
                                        mVertx,
                                        settings.machines().host(),
                                        settings.machines().port()),
                                new PoolOwnerClient(settings.name(), mOwners::view, peers, pools),
                                mExecutor,
                                this::hasJobs,
                                () -> ownership().isLeaseValid(),
                                settings.holderMillis()),
                        mSite);
        mShards = shardLifecycle(metrics, local);
        mMinions =
                new MinionDirectory(
                        mStore, mExecutor, mWatchTiming, mShards::hasShards, this::onMinions);
        mRouter = router(local, peers, metrics);
        mHttpServer =
                new SiteHttpServer(
                        mVertx, mRouter, settings.intake(), metrics::onRefusedBeforeReceipt);
        metrics.observeIntake(mHttpServer::heldBytes, mHttpServer::openConnections);
        mPeerServer =
                new PeerServer(
                        mVertx,
                        settings.name(),
                        incarnation,
                        new PeerMessageHandler(mRouter, pools, new StoreCallHandler(mStore)),
                        settings.intake(),
                        new IntakeLog("inner", metrics::onRefusedBeforeReceipt)::onRefused);
        mBoundary = new ErrorBoundary(mExecutor, metrics, settings.name());
        mMetricsServer = new MetricsServer(mVertx, metrics, settings.intake());
        mOwnership =
                new OwnershipManager(
                        mStore,
                        mExecutor,
                        mOwners,
                        self(settings, incarnation),
                        mStore::isAway,
                        settings.isBootstrap() ? BOOTSTRAP_SETTLE_MILLIS : RESTART_SETTLE_MILLIS,
                        mShards);
    }

    private RelayingStore relayingStore(Peers peers) {
        JobSettings.Address address = mSettings.store();
        return new RelayingStore(
                new SiteStore(mVertx, address.host(), address.port(), STORE_MAX_MILLIS),
                new StorePeers(mSettings.name(), this::ownershipView, peers, System::nanoTime),
                System::nanoTime);
    }

    private JobRouter router(LocalShards local, Peers peers, JobMetrics metrics) {
        return new JobRouter(
                mSettings.name(),
                mSite::config,
                mOwners::view,
                local,
                peers,
                mStore,
                mStore::isIsolated,
                metrics);
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

    private Vertx newVertx() {
        return mAcceptLimits.newVertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1));
    }

    private ShardLifecycle shardLifecycle(JobMetrics metrics, LocalShards local) {
        return new ShardLifecycle(
                shardContext(metrics), local, mFleet, this::ownership, this::minions);
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
                mExecutor,
                new MemoryUse(),
                () -> ownership().mayAct(),
                metrics,
                new ShardLimits(
                        mSettings.maxLeaseMillis(),
                        mSettings.stopMillis(),
                        mSettings.retentionMillis(),
                        mWatchTiming,
                        mSettings.farFactor()),
                this::accounts);
    }

    private ClientAccounts accounts() {
        SiteConfig config = mSite.config();
        return config == null ? ClientAccounts.NONE : config.accounts();
    }

    private boolean hasJobs(String pool) {
        SiteConfig config = mSite.config();
        return mOwners.view().hasJobs(pool)
                || config != null
                        && config.queues().stream().anyMatch(queue -> queue.pool().equals(pool));
    }

    private OwnershipView ownershipView() {
        return mOwners.view();
    }

    private OwnershipManager ownership() {
        return mOwnership;
    }

    private MinionDirectory minions() {
        return mMinions;
    }

    /** Starts the scheduler's thread, the servers and the watches on the shared store. */
    public void start() {
        LOGGER.log(
                Level.INFO,
                "daemon: starting name={0} zone={1} bootstrap={2}",
                mSettings.name(),
                mSettings.zone(),
                mSettings.isBootstrap());
        mScheduler.start();
        Future<Integer> inner = mPeerServer.start(mSettings.host(), mSettings.innerPort());
        Future<Void> front =
                mHttpServer.start(mSettings.host(), mSettings.frontPort(), mSettings.readyPort());
        Future<Integer> metrics = mMetricsServer.start(mSettings.host(), mSettings.metricsPort());
        Future.all(inner, front, metrics)
                .onSuccess(ignored -> limitConnections(inner.result(), metrics.result()))
                .onSuccess(
                        ignored ->
                                LOGGER.log(
                                        Level.INFO,
                                        "daemon: listening front={0} inner={1}",
                                        Integer.toString(mHttpServer.frontPort()),
                                        Integer.toString(inner.result())))
                .onFailure(
                        cause ->
                                LOGGER.log(
                                        Level.ERROR,
                                        "daemon: cannot listen reason={0}",
                                        cause.getMessage()));
        mExecutor.execute(
                () -> {
                    mSite.start();
                    mOwners.start();
                });
    }

    private void limitConnections(int innerPort, int metricsPort) {
        IntakeLimits limits = mSettings.intake();
        mAcceptLimits.setLimit(mHttpServer.frontPort(), limits.connections());
        mAcceptLimits.setLimit(mHttpServer.readyPort(), limits.innerConnections());
        mAcceptLimits.setLimit(innerPort, limits.innerConnections());
        mAcceptLimits.setLimit(metricsPort, limits.innerConnections());
    }

    private void onSiteChange() {
        SiteConfig config = mSite.config();
        if (config == null) {
            return;
        }
        Set<String> wanted = new TreeSet<>(Set.of(FleetManager.SHARD));
        config.queues().forEach(queue -> wanted.add(queue.pool()));
        mOwnership.setWantedShards(wanted, FleetManager.SHARD);
    }

    private void onMinions() {
        mShards.onRegistrations();
    }

    private void tick() {
        long now = System.nanoTime();
        if (mOwners.view().revision() > 0) {
            mBoundary.run("ownership", () -> mOwnership.tick(now));
        }
        mBoundary.run("registrations", mMinions::ensureRunning);
        mBoundary.run("shards", () -> mShards.tick(now));
        mBoundary.run("fleet", () -> mFleet.tick(now));
        boolean canServe = mSite.config() != null && mOwners.view().revision() > 0;
        mRouter.setReady(canServe);
    }

    /** Stops gracefully, then halts the process; does not return. */
    public void stop() {
        LOGGER.log(Level.INFO, "daemon: stopping name={0}", mSettings.name());
        long start = System.nanoTime();
        mRouter.markStopping();
        mExecutor.execute(mOwnership::stop);
        long latest =
                start + TimeUnit.MILLISECONDS.toNanos(mSettings.graceMillis() - EXIT_MARGIN_MILLIS);
        long earliest = start + TimeUnit.MILLISECONDS.toNanos(LOAD_BALANCER_MILLIS);
        while (System.nanoTime() - latest < 0) {
            boolean isDone = mShards.isEmpty() && mHttpServer.openRequests() == 0;
            if (isDone && System.nanoTime() - earliest >= 0) {
                break;
            }
            pause();
        }
        LOGGER.log(
                Level.INFO,
                "daemon: stopped name={0} open={1}",
                mSettings.name(),
                Integer.toString(mHttpServer.openRequests()));
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
