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
 * One entry host: its duties, its servers and its place among the other daemons.
 *
 * <p>A stop is graceful: the daemon says that it is not ready, serves for the time that the
 * balancer needs, finishes what is in flight, gives its slots back and leaves.
 *
 * <p>Invariants: requests are taken only after the state and the host list have been read.
 *
 * <p>This class is thread-safe.
 */
public final class Daemon {
    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());
    private static final long POLL_MILLIS = 50;

    private final Settings mSettings;
    private final Vertx mTraffic;
    private final Vertx mControl;
    private final Metrics mMetrics = new Metrics();
    private final StateView mView = new StateView();
    private final HttpStore mStore;
    private final StateSync mSync;
    private final Membership mMembership;
    private final RequestRouter mRouter;
    private final CallerServer mCallers;
    private SlotOwner mSlotOwner;
    private PlanService mFleet;
    private PlanExecutor mExecutor;
    private OperatorServer mOperators;
    private LeaseKeeper mLease;
    private volatile boolean mReleased;
    private volatile boolean mStopping;

    /**
     * Constructs a daemon that has not been started.
     *
     * @param settings the checked settings, not null
     */
    public Daemon(Settings settings) {
        mSettings = settings;
        mTraffic = newVertx();
        mControl = newVertx();
        Context traffic = mTraffic.getOrCreateContext();
        long incarnation = System.currentTimeMillis();
        int timeout = settings.number(SettingKey.PLATFORM_TIMEOUT);
        mStore =
                new HttpStore(
                        mControl,
                        settings.text(SettingKey.STORE_HOST),
                        settings.number(SettingKey.STORE_PORT),
                        timeout);
        HttpHostList hosts =
                new HttpHostList(
                        mControl,
                        settings.text(SettingKey.HOSTS_HOST),
                        settings.number(SettingKey.HOSTS_PORT),
                        timeout);
        mSync =
                new StateSync(
                        mControl,
                        mStore,
                        hosts,
                        mView,
                        mMetrics,
                        settings.number(SettingKey.HOSTS_REFRESH));
        mMembership = new Membership(mControl, settings, mView, mMetrics, incarnation);
        mRouter =
                new RequestRouter(
                        mTraffic,
                        traffic,
                        settings,
                        mMetrics,
                        new SlotMessages(mMembership, isolatedShare()),
                        this::onPause);
        mCallers =
                new CallerServer(
                        mTraffic,
                        traffic,
                        settings,
                        mView,
                        mMetrics,
                        mRouter,
                        mStore,
                        this::isReady,
                        incarnation);
    }

    /** Starts everything and returns the ports. */
    public Future<Ports> start() {
        mMembership.setStoppedWorkersSource(mRouter::stoppedWorkers);
        mMembership.setApplicationHandler(this::onInnerMessage);
        mView.addListener(mRouter::onSnapshot);
        mView.addListener(ignored -> releaseOnce());
        mRouter.start();
        return mMembership
                .start()
                .compose(this::startControl)
                .compose(
                        inner ->
                                Future.all(mCallers.start(), mOperators.start())
                                        .map(
                                                both ->
                                                        new Ports(
                                                                both.resultAt(0),
                                                                both.resultAt(1),
                                                                inner)));
    }

    /** Stops gracefully: no request in flight is cut. */
    public Future<Void> stop() {
        LOGGER.log(Level.INFO, "daemon: stopping name=" + mMembership.self().name());
        mStopping = true;
        mMembership.markStopping();
        mCallers.disableKeepAlive();
        return delay(mSettings.number(SettingKey.STOP_LAG))
                .onSuccess(ignored -> mCallers.refuseNewRequests())
                .compose(ignored -> waitForOpen(System.nanoTime() + maxDeadlineNanos()))
                .compose(ignored -> mLease.stop().otherwiseEmpty())
                .compose(ignored -> closeAll());
    }

    private long maxDeadlineNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mSettings.number(SettingKey.MAX_DEADLINE));
    }

    /** Returns whether requests may be sent here. */
    public boolean isReady() {
        return mReleased
                && mMembership.isDiscoveryComplete()
                && !mStopping
                && !mRouter.isDispatchSuspended();
    }

    private static Vertx newVertx() {
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1));
    }

    private Future<Integer> startControl(int innerPort) {
        RecordWriter records = new RecordWriter(mStore, mView);
        mSlotOwner =
                new SlotOwner(
                        mMembership, mView, mSettings.number(SettingKey.SLOTS), isolatedShare());
        mFleet = new PlanService(mView, records);
        mExecutor =
                new PlanExecutor(
                        mView,
                        mMembership,
                        records,
                        new HttpWorkerControl(
                                mControl,
                                mSettings.text(SettingKey.WORKERS_HOST),
                                mSettings.number(SettingKey.WORKERS_PORT),
                                mSettings.number(SettingKey.PLATFORM_TIMEOUT)),
                        mMetrics,
                        mSettings.number(SettingKey.SHARDS),
                        mSettings.number(SettingKey.FLEET_TICK));
        mOperators =
                new OperatorServer(
                        mControl,
                        mSettings,
                        mView,
                        mSync,
                        mFleet,
                        mMembership,
                        mMetrics,
                        this::isReady);
        mLease =
                new LeaseKeeper(
                        mControl, mStore, mMembership.self(), mSettings.number(SettingKey.LEASE));
        mSlotOwner.start();
        mFleet.start();
        mExecutor.start();
        mSync.start();
        mLease.start();
        return Future.succeededFuture(innerPort);
    }

    /** Returns the slots of each minion that a daemon uses when it reaches no owner. */
    private int isolatedShare() {
        return Math.max(
                1, mSettings.number(SettingKey.SLOTS) / mSettings.number(SettingKey.ENTRY_HOSTS));
    }

    /** Lets the router send once the state and the host list are known. */
    private void releaseOnce() {
        boolean known = mView.snapshot().revision() > 0 && mView.snapshot().hasHostList();
        if (!mReleased && known) {
            mReleased = true;
            mRouter.resumeDispatch();
            LOGGER.log(Level.INFO, "daemon: ready name=" + mMembership.self().name());
        }
    }

    /** Reads the state again after a pause, from the store or from a peer, then sends again. */
    private void onPause() {
        mSync.catchUp()
                .recover(cause -> mMembership.pullFromPeers())
                .compose(ignored -> mSync.readHostList())
                .onSuccess(ignored -> mRouter.resumeDispatch())
                .onFailure(cause -> mControl.setTimer(POLL_MILLIS, timer -> onPause()));
    }

    private Future<Body> onInnerMessage(String sender, long incarnation, Body body) {
        if (body.isSetSlotReport()) {
            return mSlotOwner.onReport(sender, body.getSlotReport());
        }
        if (body.isSetSlotGrant()) {
            return mRouter.slotRequester().onPushedGrant(body.getSlotGrant());
        }
        return Future.failedFuture("unknown message");
    }

    private Future<Void> delay(long millis) {
        return millis == 0
                ? Future.succeededFuture()
                : mControl.timer(millis, TimeUnit.MILLISECONDS).mapEmpty();
    }

    private Future<Void> waitForOpen(long untilNanos) {
        boolean idle = mCallers.openRequests() == 0 && mRouter.openRequests() == 0;
        if (idle || System.nanoTime() - untilNanos > 0) {
            return Future.succeededFuture();
        }
        return delay(POLL_MILLIS).compose(ignored -> waitForOpen(untilNanos));
    }

    private Future<Void> closeAll() {
        stopDuties();
        return Future.join(List.of(mCallers.stop(), mOperators.stop(), mMembership.stop()))
                .otherwiseEmpty()
                .onSuccess(
                        ignored ->
                                LOGGER.log(
                                        Level.INFO,
                                        "daemon: stopped name=" + mMembership.self().name()))
                .mapEmpty();
    }

    private void stopDuties() {
        mSync.stop();
        mExecutor.stop();
        mFleet.stop();
        mRouter.stop();
        mSlotOwner.stop();
    }

    /**
     * Ends the threads of a daemon; not called on one of them.
     *
     * <p>For a daemon that has not been stopped this is like a kill: nothing in flight is finished.
     */
    public void shutdownNow() {
        stopDuties();
        mMembership.stopThread();
        mTraffic.close();
        mControl.close();
    }

    /**
     * The ports on which a daemon listens.
     *
     * @param callers port for callers
     * @param operators port for operators
     * @param inner port for other daemons
     */
    public record Ports(int callers, int operators, int inner) {}

    /** Carries slot reports over the membership. */
    private record SlotMessages(Membership membership, int isolatedShare)
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
                                            : Future.failedFuture("no grant"));
        }
    }
}
