package org.endivetray.daemon;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.fleet.PlanExecutor;
import org.endivetray.daemon.fleet.PlanService;
import org.endivetray.daemon.fleet.RecordWriter;
import org.endivetray.daemon.http.OperatorServer;
import org.endivetray.daemon.intake.AcceptLimits;
import org.endivetray.daemon.membership.LeaseKeeper;
import org.endivetray.daemon.membership.Membership;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.request.CallerServer;
import org.endivetray.daemon.request.RequestRouter;
import org.endivetray.daemon.request.SlotRequester;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.daemon.slots.SlotOwner;
import org.endivetray.daemon.state.StateSync;
import org.endivetray.daemon.state.StateView;
import org.endivetray.platform.HttpHostList;
import org.endivetray.platform.HttpStore;
import org.endivetray.platform.HttpWorkerControl;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.SlotGrant;
import org.endivetray.wire.gen.SlotReport;

/**
 * Runs one daemon that routes requests: its threads, its servers and its membership.
 *
 * <p>{@link #stop()} is graceful: the daemon reports that it is not ready, keeps serving for the
 * time that the load balancer needs to notice, finishes the requests in flight and then marks its
 * registration as left.
 *
 * <p>Invariants: requests are accepted only after the stored state and the host list have been
 * read.
 *
 * <p>This class is thread-safe.
 */
public final class Daemon {
    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());
    private static final long POLL_MILLIS = 50;

    private final Settings mSettings;
    private final AcceptLimits mAcceptLimits = new AcceptLimits();
    private final Vertx mTrafficVertx;
    private final Vertx mControlVertx;
    private final Metrics mMetrics = new Metrics();
    private final StateView mView = new StateView();
    private final HttpStore mStore;
    private final StateSync mStateSync;
    private final Membership mMembership;
    private final RequestRouter mRouter;
    private final CallerServer mCallerServer;
    private SlotOwner mSlotOwner;
    private PlanService mPlanService;
    private PlanExecutor mPlanExecutor;
    private OperatorServer mOperatorServer;
    private LeaseKeeper mLeaseKeeper;
    private volatile boolean mIsDispatching;
    private volatile boolean mIsStopping;

    /**
     * Constructs a daemon that has not been started.
     *
     * @param settings the validated settings, not null
     */
    public Daemon(Settings settings) {
        mSettings = settings;
        mTrafficVertx = newVertx();
        mControlVertx = newVertx();
        Context traffic = mTrafficVertx.getOrCreateContext();
        long incarnation = System.currentTimeMillis();
        int timeout = settings.number(SettingKey.PLATFORM_TIMEOUT);
        mStore =
                new HttpStore(
                        mControlVertx,
                        settings.text(SettingKey.STORE_HOST),
                        settings.number(SettingKey.STORE_PORT),
                        timeout);
        HttpHostList hosts =
                new HttpHostList(
                        mControlVertx,
                        settings.text(SettingKey.HOSTS_HOST),
                        settings.number(SettingKey.HOSTS_PORT),
                        timeout);
        mStateSync =
                new StateSync(
                        mControlVertx,
                        mStore,
                        hosts,
                        mView,
                        mMetrics,
                        settings.number(SettingKey.HOSTS_REFRESH));
        mMembership = new Membership(mControlVertx, settings, mView, mMetrics, incarnation);
        mRouter =
                new RequestRouter(
                        mTrafficVertx,
                        traffic,
                        settings,
                        mMetrics,
                        new MembershipTransport(mMembership, isolatedShare()),
                        this::onProcessPause);
        mCallerServer =
                new CallerServer(
                        mTrafficVertx,
                        traffic,
                        settings,
                        mView,
                        mMetrics,
                        mRouter,
                        mStore,
                        this::isReady,
                        incarnation);
    }

    /** Starts all threads and servers and returns the ports on which the daemon listens. */
    public Future<Ports> start() {
        mMembership.setStoppedWorkersSource(mRouter::stoppedWorkers);
        mMembership.setApplicationHandler(this::onPeerMessage);
        mView.addListener(mRouter::onSnapshot);
        mView.addListener(ignored -> startDispatchIfLoaded());
        mRouter.start();
        return mMembership
                .start()
                .compose(this::startControl)
                .compose(
                        peerPort ->
                                Future.all(mCallerServer.start(), mOperatorServer.start())
                                        .map(
                                                servers ->
                                                        new Ports(
                                                                servers.resultAt(0),
                                                                servers.resultAt(1),
                                                                peerPort)))
                .onSuccess(this::limitConnections);
    }

    /**
     * Stops gracefully: waits until all open requests are finished, but no longer than the longest
     * accepted deadline.
     */
    public Future<Void> stop() {
        LOGGER.log(Level.INFO, "daemon: stopping name=" + mMembership.self().name());
        mIsStopping = true;
        mMembership.markStopping();
        mCallerServer.disableKeepAlive();
        return delay(mSettings.number(SettingKey.STOP_LAG))
                .onSuccess(ignored -> mCallerServer.refuseNewRequests())
                .compose(ignored -> awaitOpenRequests(System.nanoTime() + maxDeadlineNanos()))
                .compose(ignored -> mLeaseKeeper.stop().otherwiseEmpty())
                .compose(ignored -> closeAll());
    }

    private long maxDeadlineNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mSettings.number(SettingKey.MAX_DEADLINE));
    }

    /** Returns whether this daemon may be sent requests. */
    public boolean isReady() {
        return mIsDispatching
                && mMembership.isDiscoveryComplete()
                && !mIsStopping
                && !mRouter.isDispatchSuspended();
    }

    private void limitConnections(Ports ports) {
        mAcceptLimits.setLimit(ports.callers(), mSettings.number(SettingKey.CALLER_CONNECTIONS));
        mAcceptLimits.setLimit(
                ports.operators(), mSettings.number(SettingKey.OPERATOR_CONNECTIONS));
        mAcceptLimits.setLimit(ports.inner(), mSettings.number(SettingKey.INNER_CONNECTIONS));
    }

    private Vertx newVertx() {
        return mAcceptLimits.newVertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1));
    }

    private Future<Integer> startControl(int peerPort) {
        RecordWriter records = new RecordWriter(mStore, mView);
        mSlotOwner =
                new SlotOwner(
                        mMembership, mView, mSettings.number(SettingKey.SLOTS), isolatedShare());
        mPlanService = new PlanService(mView, records);
        mPlanExecutor =
                new PlanExecutor(
                        mView,
                        mMembership,
                        records,
                        new HttpWorkerControl(
                                mControlVertx,
                                mSettings.text(SettingKey.WORKERS_HOST),
                                mSettings.number(SettingKey.WORKERS_PORT),
                                mSettings.number(SettingKey.PLATFORM_TIMEOUT)),
                        mMetrics,
                        mSettings.number(SettingKey.SHARDS),
                        mSettings.number(SettingKey.FLEET_TICK));
        mOperatorServer =
                new OperatorServer(
                        mControlVertx,
                        mSettings,
                        mView,
                        mStateSync,
                        mPlanService,
                        mMembership,
                        mMetrics,
                        this::isReady);
        mLeaseKeeper =
                new LeaseKeeper(
                        mControlVertx,
                        mStore,
                        mMembership.self(),
                        mSettings.number(SettingKey.LEASE));
        mSlotOwner.start();
        mPlanService.start();
        mPlanExecutor.start();
        mStateSync.start();
        mLeaseKeeper.start();
        return Future.succeededFuture(peerPort);
    }

    /** Returns how many slots of each minion a daemon may use while it reaches no slot owner. */
    private int isolatedShare() {
        return Math.max(
                1, mSettings.number(SettingKey.SLOTS) / mSettings.number(SettingKey.ENTRY_HOSTS));
    }

    /** Starts to dispatch requests as soon as the stored state and the host list are loaded. */
    private void startDispatchIfLoaded() {
        boolean isLoaded = mView.snapshot().revision() > 0 && mView.snapshot().hasHostList();
        if (!mIsDispatching && isLoaded) {
            mIsDispatching = true;
            mRouter.resumeDispatch();
            LOGGER.log(Level.INFO, "daemon: ready name=" + mMembership.self().name());
        }
    }

    /**
     * Reads the state again after a pause of this process, from the store or else from a peer, and
     * then resumes dispatching.
     */
    private void onProcessPause() {
        mStateSync
                .catchUp()
                .recover(cause -> mMembership.pullFromPeers())
                .compose(ignored -> mStateSync.readHostList())
                .onSuccess(ignored -> mRouter.resumeDispatch())
                .onFailure(cause -> mControlVertx.setTimer(POLL_MILLIS, timer -> onProcessPause()));
    }

    private Future<Body> onPeerMessage(String sender, long incarnation, Body body) {
        if (body.isSetSlotReport()) {
            return mSlotOwner.onReport(sender, body.getSlotReport());
        }
        if (body.isSetSlotGrant()) {
            return mRouter.slotRequester().onPushedGrant(body.getSlotGrant());
        }
        return Future.failedFuture("unknown message type");
    }

    private Future<Void> delay(long millis) {
        return millis == 0
                ? Future.succeededFuture()
                : mControlVertx.timer(millis, TimeUnit.MILLISECONDS).mapEmpty();
    }

    private Future<Void> awaitOpenRequests(long deadlineNanos) {
        boolean isIdle = mCallerServer.openRequests() == 0 && mRouter.openRequests() == 0;
        if (isIdle || System.nanoTime() - deadlineNanos > 0) {
            return Future.succeededFuture();
        }
        return delay(POLL_MILLIS).compose(ignored -> awaitOpenRequests(deadlineNanos));
    }

    private Future<Void> closeAll() {
        stopDuties();
        return Future.join(
                        List.of(mCallerServer.stop(), mOperatorServer.stop(), mMembership.stop()))
                .otherwiseEmpty()
                .onSuccess(
                        ignored ->
                                LOGGER.log(
                                        Level.INFO,
                                        "daemon: stopped name=" + mMembership.self().name()))
                .mapEmpty();
    }

    private void stopDuties() {
        mStateSync.stop();
        mPlanExecutor.stop();
        mPlanService.stop();
        mRouter.stop();
        mSlotOwner.stop();
    }

    /**
     * Stops the threads at once; must not be called on one of them.
     *
     * <p>On a daemon that has not been stopped, this acts like a kill: requests in flight are not
     * finished.
     */
    public void shutdownNow() {
        stopDuties();
        mMembership.stopThread();
        mTrafficVertx.close();
        mControlVertx.close();
    }

    /**
     * The ports on which a daemon listens.
     *
     * @param callers port for callers
     * @param operators port for operators
     * @param inner port for other daemons
     */
    public record Ports(int callers, int operators, int inner) {}

    /** Sends slot reports over the connections between daemons. */
    private record MembershipTransport(Membership membership, int isolatedShare)
            implements SlotRequester.Transport {
        @Override
        public String ownerOf(String service) {
            return membership.owner(SlotOwner.OWNERSHIP_KEY_PREFIX + service);
        }

        @Override
        public boolean isIsolated() {
            return membership.isMinority();
        }

        @Override
        public Future<SlotGrant> report(String owner, SlotReport report) {
            return membership
                    .send(owner, Body.slotReport(report))
                    .compose(
                            reply ->
                                    reply.isSetSlotGrant()
                                            ? Future.succeededFuture(reply.getSlotGrant())
                                            : Future.failedFuture("reply is not a slot grant"));
        }
    }
}
