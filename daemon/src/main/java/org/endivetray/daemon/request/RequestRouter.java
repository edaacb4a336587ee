package org.endivetray.daemon.request;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.endivetray.ResultCode;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.membership.StoppedWorkers;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.policy.MinionChooser;
import org.endivetray.policy.WaitQueue;

/**
 * Routes each request from its receipt to its result.
 *
 * <p>A request waits in a bounded {@link WaitQueue} until a minion that accepts new work has a free
 * slot. It is then sent, and retried only if it is repeatable or certainly did not run. Every
 * request gets one result by its deadline.
 *
 * <p>After a pause of this process, dispatch is suspended until the state has been read again,
 * because hosts may have begun to drain in the meantime.
 *
 * <p>Invariants: a worker that is not active, or is leaving, gets no new request; a request is sent
 * to a minion only while fewer requests than its limit are in flight from this daemon; a request is
 * reported as not run only if no byte of it reached a minion or each minion refused it.
 *
 * <p>This class is thread-safe; its state is confined to its own thread.
 */
public final class RequestRouter {
    private static final Logger LOGGER = System.getLogger(RequestRouter.class.getName());
    private static final int RING_ENTRIES = 8_192;
    private static final long TICK_MILLIS = 10;
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_ATTEMPTS = 4;
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int STALL_MEAN_FACTOR = 8;
    private static final long TRIM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long GAUGE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Settings mSettings;
    private final Metrics mMetrics;
    private final MinionClient mClient;
    private final RoutingPolicy mPolicy;
    private final MinionChooser mChooser;
    private final SlotRequester mSlotRequester;
    private final Runnable mOnPause;
    private final RouteLog mLog;
    private final Duty mDuty;
    private final ServiceTable mServices;
    private volatile boolean mDispatchSuspended = true;
    private volatile int mOpenRequests;
    private long mLastTickNanos = System.nanoTime();
    private long mLastTrimNanos;
    private long mLastGaugeNanos;

    /**
     * Constructs a router that has not been started.
     *
     * @param vertx the event loops, not null
     * @param traffic the traffic event loop, not null
     * @param settings the validated settings, not null
     * @param metrics counts results and retries, not null
     * @param slotTransport sends slot reports to the slot owners, not null
     * @param onPause called after a pause of this process was detected, not null
     */
    public RequestRouter(
            Vertx vertx,
            Context traffic,
            Settings settings,
            Metrics metrics,
            SlotRequester.Transport slotTransport,
            Runnable onPause) {
        mSettings = settings;
        mMetrics = metrics;
        mClient = new MinionClient(vertx, traffic, settings.number(SettingKey.ANSWER_BYTES));
        mPolicy = RoutingPolicy.ofName(settings.text(SettingKey.POLICY));
        mChooser = new MinionChooser(settings.number(SettingKey.SEED));
        mOnPause = onPause;
        mLog = new RouteLog(settings.number(SettingKey.LOG_DECISIONS) == 1);
        mServices = new ServiceTable(settings, mPolicy);
        mDuty = new Duty("router", RING_ENTRIES, TICK_MILLIS, this::tick);
        mSlotRequester = new SlotRequester(mDuty, slotTransport, this::dispatch, mPolicy);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread; requests that have no result yet get none. */
    public void stop() {
        mDuty.stop();
    }

    /** Returns the workers that get no new work, with the requests in flight there. */
    public StoppedWorkers stoppedWorkers() {
        return mServices.stoppedWorkers();
    }

    /** Returns the number of requests without a result. */
    public int openRequests() {
        return mOpenRequests;
    }

    /** Returns whether dispatch is suspended until the state has been read. */
    public boolean isDispatchSuspended() {
        return mDispatchSuspended;
    }

    /** Applies a new snapshot of the state. */
    public void onSnapshot(Snapshot snapshot) {
        mDuty.submit(() -> applySnapshot(snapshot));
    }

    /** Resumes dispatch after the state has been read at the start or after a pause. */
    public void resumeDispatch() {
        mDuty.submit(
                () -> {
                    mDispatchSuspended = false;
                    mServices.all().forEach(this::dispatch);
                });
    }

    /** Returns the component that receives slot grants. */
    public SlotRequester slotRequester() {
        return mSlotRequester;
    }

    /**
     * Submits a request.
     *
     * @param request the request, not null
     * @return whether it was accepted; a request that was not accepted has no result yet
     */
    boolean submit(RoutedRequest request) {
        return mDuty.offer(() -> accept(request));
    }

    /** Cancels a request whose caller disconnected, unless it was sent and is not repeatable. */
    void cancel(RoutedRequest request) {
        mDuty.submit(() -> onCallerGone(request));
    }

    private void accept(RoutedRequest request) {
        mOpenRequests++;
        ServiceState service = mServices.get(request.service());
        if (service == null) {
            end(request, RequestResult.failed(ResultCode.UNKNOWN_SERVICE, request.service()));
            return;
        }
        if (service.usableMinions().isEmpty()) {
            end(request, RequestResult.failed(ResultCode.DRAINING_ONLY, request.service()));
            return;
        }
        long now = System.nanoTime();
        if (now + expectedWaitNanos(service, request) - request.deadlineNanos() > 0) {
            end(
                    request,
                    RequestResult.failed(
                            ResultCode.DEADLINE_TOO_SHORT,
                            "expected wait in the queue exceeds the deadline"));
            return;
        }
        Optional<ResultCode> refused = service.queue().offer(request.queueEntry());
        if (refused.isPresent()) {
            end(request, RequestResult.failed(refused.get(), "queue is full"));
            return;
        }
        dispatch(service);
    }

    /** Returns an estimate of the time that the request would wait in the queue. */
    private long expectedWaitNanos(ServiceState service, RoutedRequest request) {
        int usableSlots = service.usableMinions().size() * mSettings.number(SettingKey.SLOTS);
        int fairShare = usableSlots / mSettings.number(SettingKey.ENTRY_HOSTS);
        int slots = Math.max(1, Math.max(service.slots(), fairShare));
        double rounds = (double) service.queue().countAhead(request.isUrgent()) / slots;
        return (long) (rounds * service.meanResponseNanos());
    }

    /** Sends waiting requests while minions have free slots. */
    private void dispatch(ServiceState service) {
        if (mDispatchSuspended) {
            return;
        }
        List<WaitQueue.Entry<RoutedRequest>> skipped = new ArrayList<>();
        while (service.queue().size() > 0 && hasFreeSlot(service)) {
            WaitQueue.Entry<RoutedRequest> entry = service.queue().poll().orElseThrow();
            RoutedRequest request = entry.item();
            long now = System.nanoTime();
            if (now + (long) service.meanResponseNanos() - request.deadlineNanos() >= 0) {
                end(
                        request,
                        RequestResult.failed(
                                ResultCode.DEADLINE_PASSED, "no free slot before the deadline"));
                continue;
            }
            Optional<MinionState> minion = chooseMinion(service, request, now);
            if (minion.isEmpty()) {
                skipped.add(entry);
                if (skipped.size() >= MAX_ATTEMPTS) {
                    break;
                }
                continue;
            }
            send(service, request, minion.get(), now);
        }
        skipped.forEach(service.queue()::putBack);
        if (service.queue().size() > 0) {
            mSlotRequester.onNoFreeSlot(service);
        }
    }

    private static boolean hasFreeSlot(ServiceState service) {
        for (MinionState minion : service.minions().values()) {
            if (minion.acceptsNewWork() && minion.freeSlots() > 0) {
                return true;
            }
        }
        return false;
    }

    private Optional<MinionState> chooseMinion(
            ServiceState service, RoutedRequest request, long nowNanos) {
        List<MinionState> untried = new ArrayList<>();
        List<MinionState> tried = new ArrayList<>();
        for (MinionState minion : service.minions().values()) {
            boolean admits = minion.health().admits(request.isRepeatable(), nowNanos);
            if (!minion.acceptsNewWork() || !admits) {
                continue;
            }
            boolean alreadyTried = request.triedAddresses().contains(minion.endpoint().address());
            (alreadyTried ? tried : untried).add(minion);
        }
        Optional<MinionState> chosen = mPolicy.choose(mChooser, untried);
        return chosen.isPresent() ? chosen : mPolicy.choose(mChooser, tried);
    }

    private void send(
            ServiceState service, RoutedRequest request, MinionState minion, long nowNanos) {
        minion.onSent();
        mLog.sent(request, minion);
        MinionClient.Attempt attempt =
                mClient.send(
                        request,
                        minion.endpoint(),
                        minion.limit(),
                        nowNanos,
                        request.deadlineNanos(),
                        (outcome, minionResponse) ->
                                mDuty.submit(
                                        () ->
                                                onAttemptEnd(
                                                        service,
                                                        request,
                                                        minion,
                                                        outcome,
                                                        minionResponse)));
        request.onSent(minion, attempt, nowNanos);
        service.sentRequests().add(request);
    }

    /** Ends attempts at minions that seem to have stalled, so that the requests are retried. */
    private void timeOutStalledAttempts(ServiceState service, long nowNanos) {
        long stallNanos =
                Math.max(MIN_STALL_NANOS, (long) (STALL_MEAN_FACTOR * service.meanResponseNanos()));
        for (RoutedRequest request : service.sentRequests()) {
            boolean mayTimeOut =
                    request.isRepeatable()
                            && request.currentAttempt() != null
                            && nowNanos - request.sentNanos() > stallNanos
                            && request.attempts() < MAX_ATTEMPTS;
            if (mayTimeOut && service.canRetry() && service.hasStalled(request)) {
                request.currentAttempt().timeOut();
            }
        }
    }

    private void onAttemptEnd(
            ServiceState service,
            RoutedRequest request,
            MinionState minion,
            AttemptOutcome outcome,
            MinionResponse minionResponse) {
        long now = System.nanoTime();
        minion.onEnded();
        request.onAttemptEnded(outcome);
        service.sentRequests().remove(request);
        recordHealth(service, minion, outcome, minionResponse, now);
        mServices.onAttemptEnded(minion);
        if (outcome.isAnswered()) {
            service.onAnswered(now - request.sentNanos());
            minion.onAnswered(request.sentNanos(), now);
        }
        if (request.isEnded()) {
            dispatch(service);
            return;
        }
        boolean failed =
                !outcome.isAnswered() || (minionResponse != null && minionResponse.isFailure());
        if (failed && mayRetry(service, request, outcome, now)) {
            retry(service, request, outcome);
        } else if (outcome == AttemptOutcome.STREAMED) {
            recordEnd(request, ResultCode.ANSWERED);
        } else if (outcome == AttemptOutcome.STREAM_CUT) {
            recordEnd(request, ResultCode.ANSWER_DAMAGED);
        } else {
            end(request, toResult(request, outcome, minionResponse));
        }
        dispatch(service);
        boolean limitReached = minion.inFlight() >= minion.limit() && service.queue().size() == 0;
        if (limitReached || service.holdsContendedSlots()) {
            service.setReportDue();
            mSlotRequester.tick(service, now);
        }
    }

    private RequestResult toResult(
            RoutedRequest request, AttemptOutcome outcome, MinionResponse minionResponse) {
        if (minionResponse != null) {
            return RequestResult.answered(minionResponse);
        }
        return RequestResult.failed(outcome.code(), "after " + request.attempts() + " attempts");
    }

    private boolean mayRetry(
            ServiceState service, RoutedRequest request, AttemptOutcome outcome, long nowNanos) {
        boolean safe = outcome.isNotRun() || request.isRepeatable();
        boolean possible =
                safe
                        && outcome != AttemptOutcome.STREAM_CUT
                        && outcome != AttemptOutcome.CANCELLED
                        && !request.isCallerGone()
                        && request.deadlineNanos() - nowNanos > 0;
        if (!possible) {
            return false;
        }
        if (outcome == AttemptOutcome.NOT_SENT) {
            return true;
        }
        if (request.attempts() >= maxAttempts(outcome)) {
            return false;
        }
        boolean budgetExempt =
                outcome == AttemptOutcome.REFUSED || outcome == AttemptOutcome.NOT_CONNECTED;
        boolean overloaded = service.queue().size() > service.slots();
        return budgetExempt || service.retryBudget().tryTake(overloaded);
    }

    /**
     * Returns the maximum number of attempts; refusals cost a minion little, so more are allowed.
     */
    private static int maxAttempts(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.REFUSED ? MAX_ATTEMPTS * 2 : MAX_ATTEMPTS;
    }

    private void retry(ServiceState service, RoutedRequest request, AttemptOutcome outcome) {
        mMetrics.onRetry(request.service());
        mLog.retried(request, outcome);
        service.queue().putBack(request.queueEntry());
    }

    private void recordHealth(
            ServiceState service,
            MinionState minion,
            AttemptOutcome outcome,
            MinionResponse minionResponse,
            long nowNanos) {
        boolean failed =
                outcome.isMinionFault() || (minionResponse != null && minionResponse.isFailure());
        if (!failed && outcome.isAnswered()) {
            minion.health().onSuccess();
        } else if (!failed) {
            minion.health().onInconclusive();
        } else if (minion.health().onFailure(service.mayEject(), nowNanos)) {
            mMetrics.onEjection(service.declaration().name());
            mLog.ejected(service, minion, outcome);
        }
    }

    private void onCallerGone(RoutedRequest request) {
        if (request.isEnded()) {
            return;
        }
        request.onCallerGone();
        ServiceState service = mServices.get(request.service());
        if (service != null && service.queue().remove(request.queueEntry())) {
            end(
                    request,
                    RequestResult.failed(
                            ResultCode.CALLER_GONE,
                            "caller disconnected while the request was queued"));
        } else if (request.currentAttempt() != null && request.isRepeatable()) {
            request.currentAttempt().cancel();
        }
    }

    /** Ends a request and passes its result to the sink, unless it has ended already. */
    private void end(RoutedRequest request, RequestResult result) {
        RequestResult reported = request.reported(result);
        if (recordEnd(request, reported.code())) {
            request.sink().end(reported);
        }
    }

    /** Marks a request as ended; returns whether it had not ended before. */
    private boolean recordEnd(RoutedRequest request, ResultCode code) {
        if (request.isEnded()) {
            return false;
        }
        request.onEnded();
        mOpenRequests--;
        mMetrics.onResult(request.service(), code, System.nanoTime() - request.receivedNanos());
        mLog.ended(request, code);
        return true;
    }

    private void tick() {
        long now = System.nanoTime();
        if (now - mLastTickNanos > PAUSE_THRESHOLD_NANOS) {
            mDispatchSuspended = true;
            LOGGER.log(
                    Level.WARNING,
                    "route: process was paused; dispatch is suspended until the state is reread");
            mOnPause.run();
        }
        mLastTickNanos = now;
        for (ServiceState service : mServices.all()) {
            service.queue()
                    .expire(
                            now,
                            entry ->
                                    end(
                                            entry.item(),
                                            RequestResult.failed(
                                                    ResultCode.DEADLINE_PASSED,
                                                    "no free slot before the deadline")));
            mSlotRequester.tick(service, now);
            timeOutStalledAttempts(service, now);
            dispatch(service);
        }
        trimConnections(now);
        recordGauges(now);
    }

    private void trimConnections(long now) {
        if (now - mLastTrimNanos < TRIM_INTERVAL_NANOS) {
            return;
        }
        mLastTrimNanos = now;
        Map<String, Integer> maxIdlePerAddress = new HashMap<>();
        for (ServiceState service : mServices.all()) {
            service.minions()
                    .forEach(
                            (address, minion) ->
                                    maxIdlePerAddress.merge(address, minion.limit(), Math::max));
        }
        mClient.trim(maxIdlePerAddress);
    }

    private void recordGauges(long now) {
        if (now - mLastGaugeNanos < GAUGE_INTERVAL_NANOS) {
            return;
        }
        mLastGaugeNanos = now;
        mServices
                .all()
                .forEach(
                        service ->
                                mMetrics.onSlots(
                                        service.declaration().name(),
                                        service.slots(),
                                        service.inFlight(),
                                        service.queue().size()));
    }

    private void applySnapshot(Snapshot snapshot) {
        mServices.applySnapshot(snapshot);
        mServices.all().forEach(this::dispatch);
    }
}
