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
 * Takes each request from its receipt to its result.
 *
 * <p>A request waits, bounded and in the order of {@link WaitQueue}, until a minion that accepts
 * new work has a free slot; it is sent, and sent again elsewhere only if that is harmless. Every
 * request gets one result by its deadline.
 *
 * <p>After a pause of this process nothing is sent until the state has been read again, since hosts
 * may have begun to leave meanwhile.
 *
 * <p>Invariants: a worker that is not active, or is leaving, gets no new request; a minion has at
 * most as many requests in flight from here as its limit when one is sent; "not run" is reported
 * only if no byte of the request reached a minion or each minion refused it.
 *
 * <p>This class is thread-safe; its state belongs to its own thread.
 */
public final class RequestRouter {
    private static final Logger LOGGER = System.getLogger(RequestRouter.class.getName());
    private static final int RING_ENTRIES = 8_192;
    private static final long TICK_MILLIS = 10;
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_ATTEMPTS = 4;
    private static final long MIN_TRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int TRY_MEANS = 8;
    private static final long TRIM_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long GAUGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Settings mSettings;
    private final Metrics mMetrics;
    private final MinionClient mClient;
    private final RoutingPolicy mPolicy;
    private final MinionChooser mChooser;
    private final SlotRequester mSlots;
    private final Runnable mOnPause;
    private final RouteLog mLog;
    private final Duty mDuty;
    private final ServiceTable mServices;
    private volatile boolean mHeld = true;
    private volatile int mOpen;
    private long mLastTickNanos = System.nanoTime();
    private long mLastTrimNanos;
    private long mLastGaugeNanos;

    /**
     * Constructs a router that has not been started.
     *
     * @param vertx the event loops, not null
     * @param traffic the traffic event loop, not null
     * @param settings the checked settings, not null
     * @param metrics records results, not null
     * @param slotMessages carries slot reports to their owners, not null
     * @param onPause told that this process was paused, not null
     */
    public RequestRouter(
            Vertx vertx,
            Context traffic,
            Settings settings,
            Metrics metrics,
            SlotRequester.Transport slotMessages,
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
        mSlots = new SlotRequester(mDuty, slotMessages, this::dispatch, mPolicy);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread; requests that have no result yet get none. */
    public void stop() {
        mDuty.stop();
    }

    /** Returns which workers get no new work, and what is in flight there. */
    public StoppedWorkers stoppedWorkers() {
        return mServices.stoppedWorkers();
    }

    /** Returns the number of requests that have no result yet. */
    public int openRequests() {
        return mOpen;
    }

    /** Returns whether sending is held until the state has been read again. */
    public boolean isDispatchSuspended() {
        return mHeld;
    }

    /** Takes in a new state. */
    public void onSnapshot(Snapshot snapshot) {
        mDuty.submit(() -> useSnapshot(snapshot));
    }

    /** Allows sending, as the state has been read after the start or a pause. */
    public void resumeDispatch() {
        mDuty.submit(
                () -> {
                    mHeld = false;
                    mServices.all().forEach(this::dispatch);
                });
    }

    /** Returns where grants are taken in. */
    public SlotRequester slotRequester() {
        return mSlots;
    }

    /**
     * Takes in a request.
     *
     * @param request the request, not null
     * @return whether it was accepted; if not, it has no result yet
     */
    boolean submit(RoutedRequest request) {
        return mDuty.offer(() -> accept(request));
    }

    /** Takes in that the caller has gone away. */
    void cancel(RoutedRequest request) {
        mDuty.submit(() -> onCallerGone(request));
    }

    private void accept(RoutedRequest request) {
        mOpen++;
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
        if (now + expectedNanos(service, request) - request.deadlineNanos() > 0) {
            end(
                    request,
                    RequestResult.failed(ResultCode.DEADLINE_TOO_SHORT, "waiting list is long"));
            return;
        }
        Optional<ResultCode> refused = service.queue().offer(request.queueEntry());
        if (refused.isPresent()) {
            end(request, RequestResult.failed(refused.get(), "waiting list is full"));
            return;
        }
        dispatch(service);
    }

    /** Returns the time that the request would wait and run, as far as that can be told. */
    private long expectedNanos(ServiceState service, RoutedRequest request) {
        int usable = service.usableMinions().size() * mSettings.number(SettingKey.SLOTS);
        int fairShare = usable / mSettings.number(SettingKey.ENTRY_HOSTS);
        int slots = Math.max(1, Math.max(service.slots(), fairShare));
        double turns = (double) service.queue().countAhead(request.isUrgent()) / slots;
        return (long) (turns * service.meanResponseNanos());
    }

    /** Sends waiting requests while minions have free slots. */
    private void dispatch(ServiceState service) {
        if (mHeld) {
            return;
        }
        List<WaitQueue.Entry<RoutedRequest>> skipped = new ArrayList<>();
        while (service.queue().size() > 0 && hasFreeSlot(service)) {
            WaitQueue.Entry<RoutedRequest> entry = service.queue().poll().orElseThrow();
            RoutedRequest request = entry.item();
            long now = System.nanoTime();
            if (now + (long) service.meanResponseNanos() - request.deadlineNanos() >= 0) {
                end(request, RequestResult.failed(ResultCode.DEADLINE_PASSED, "no slot in time"));
                continue;
            }
            Optional<MinionState> minion = choose(service, request, now);
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
            mSlots.onNoFreeSlot(service);
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

    private Optional<MinionState> choose(
            ServiceState service, RoutedRequest request, long nowNanos) {
        List<MinionState> untried = new ArrayList<>();
        List<MinionState> tried = new ArrayList<>();
        for (MinionState minion : service.minions().values()) {
            boolean admits = minion.health().admits(request.isRepeatable(), nowNanos);
            if (!minion.acceptsNewWork() || !admits) {
                continue;
            }
            boolean again = request.triedAddresses().contains(minion.endpoint().address());
            (again ? tried : untried).add(minion);
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
                        (end, answer) ->
                                mDuty.submit(
                                        () -> onAttemptEnd(service, request, minion, end, answer)));
        request.onSent(minion, attempt, nowNanos);
        service.sentRequests().add(request);
    }

    /** Gives up on minions that answer nothing while others do, so that requests go elsewhere. */
    private void leaveStalledMinions(ServiceState service, long nowNanos) {
        long tryNanos = Math.max(MIN_TRY_NANOS, (long) (TRY_MEANS * service.meanResponseNanos()));
        for (RoutedRequest request : service.sentRequests()) {
            boolean mayLeave =
                    request.isRepeatable()
                            && request.currentAttempt() != null
                            && nowNanos - request.sentNanos() > tryNanos
                            && request.attempts() < MAX_ATTEMPTS;
            if (mayLeave && service.canRetry() && service.hasStalled(request)) {
                request.currentAttempt().timeOut();
            }
        }
    }

    private void onAttemptEnd(
            ServiceState service,
            RoutedRequest request,
            MinionState minion,
            AttemptOutcome end,
            MinionResponse answer) {
        long now = System.nanoTime();
        minion.onEnded();
        request.onAttemptEnded();
        service.sentRequests().remove(request);
        recordHealth(service, minion, end, answer, now);
        mServices.onAttemptEnded(minion);
        if (end.isAnswered()) {
            service.onAnswered(now - request.sentNanos());
            minion.onAnswered(request.sentNanos(), now);
        }
        if (request.isEnded()) {
            dispatch(service);
            return;
        }
        boolean failed = !end.isAnswered() || (answer != null && answer.isFailure());
        if (failed && mayRetry(service, request, end, now)) {
            retry(service, request, end);
        } else if (end == AttemptOutcome.STREAMED) {
            finish(request, ResultCode.ANSWERED);
        } else if (end == AttemptOutcome.STREAM_CUT) {
            finish(request, ResultCode.ANSWER_DAMAGED);
        } else {
            end(request, toResult(request, end, answer));
        }
        dispatch(service);
        boolean overLimit = minion.inFlight() >= minion.limit() && service.queue().size() == 0;
        if (overLimit || service.holdsContendedSlots()) {
            service.setReportDue();
            mSlots.tick(service, now);
        }
    }

    private RequestResult toResult(
            RoutedRequest request, AttemptOutcome end, MinionResponse answer) {
        if (answer != null) {
            return RequestResult.answered(answer);
        }
        return RequestResult.failed(end.code(), "after " + request.attempts() + " attempts");
    }

    private boolean mayRetry(
            ServiceState service, RoutedRequest request, AttemptOutcome end, long nowNanos) {
        boolean harmless = end.isNotRun() || request.isRepeatable();
        boolean possible =
                harmless
                        && end != AttemptOutcome.STREAM_CUT
                        && end != AttemptOutcome.CANCELLED
                        && !request.isCallerGone()
                        && request.deadlineNanos() - nowNanos > 0;
        if (!possible) {
            return false;
        }
        if (end == AttemptOutcome.NOT_SENT) {
            return true;
        }
        if (request.attempts() >= maxAttempts(end)) {
            return false;
        }
        boolean free = end == AttemptOutcome.REFUSED || end == AttemptOutcome.NOT_CONNECTED;
        boolean overloaded = service.queue().size() > service.slots();
        return free || service.retryBudget().tryTake(overloaded);
    }

    /** Returns the attempts allowed; refusals cost the minion little, so more are allowed. */
    private static int maxAttempts(AttemptOutcome end) {
        return end == AttemptOutcome.REFUSED ? MAX_ATTEMPTS * 2 : MAX_ATTEMPTS;
    }

    private void retry(ServiceState service, RoutedRequest request, AttemptOutcome end) {
        mMetrics.onRetry(request.service());
        mLog.retried(request, end);
        service.queue().putBack(request.queueEntry());
    }

    private void recordHealth(
            ServiceState service,
            MinionState minion,
            AttemptOutcome end,
            MinionResponse answer,
            long nowNanos) {
        boolean failed = end.isMinionFault() || (answer != null && answer.isFailure());
        if (!failed && end.isAnswered()) {
            minion.health().onSuccess();
        } else if (!failed) {
            minion.health().onInconclusive();
        } else if (minion.health().onFailure(service.mayEject(), nowNanos)) {
            mMetrics.onEjection(service.declaration().name());
            mLog.ejected(service, minion, end);
        }
    }

    private void onCallerGone(RoutedRequest request) {
        if (request.isEnded()) {
            return;
        }
        request.onCallerGone();
        ServiceState service = mServices.get(request.service());
        if (service != null && service.queue().remove(request.queueEntry())) {
            end(request, RequestResult.failed(ResultCode.CALLER_GONE, "while waiting"));
        } else if (request.currentAttempt() != null && request.isRepeatable()) {
            request.currentAttempt().cancel();
        }
    }

    private void end(RoutedRequest request, RequestResult result) {
        if (finish(request, result.code())) {
            request.sink().end(result);
        }
    }

    private boolean finish(RoutedRequest request, ResultCode code) {
        if (request.isEnded()) {
            return false;
        }
        request.onEnded();
        mOpen--;
        mMetrics.onResult(request.service(), code, System.nanoTime() - request.receivedNanos());
        mLog.ended(request, code);
        return true;
    }

    private void tick() {
        long now = System.nanoTime();
        if (now - mLastTickNanos > PAUSE_NANOS) {
            mHeld = true;
            LOGGER.log(Level.WARNING, "route: process was paused; sending is held");
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
                                                    "no slot in time")));
            mSlots.tick(service, now);
            leaveStalledMinions(service, now);
            dispatch(service);
        }
        trimConnections(now);
        recordGauges(now);
    }

    private void trimConnections(long now) {
        if (now - mLastTrimNanos < TRIM_NANOS) {
            return;
        }
        mLastTrimNanos = now;
        Map<String, Integer> keep = new HashMap<>();
        for (ServiceState service : mServices.all()) {
            service.minions()
                    .forEach((address, minion) -> keep.merge(address, minion.limit(), Math::max));
        }
        mClient.trim(keep);
    }

    private void recordGauges(long now) {
        if (now - mLastGaugeNanos < GAUGE_NANOS) {
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

    private void useSnapshot(Snapshot snapshot) {
        mServices.applySnapshot(snapshot);
        mServices.all().forEach(this::dispatch);
    }
}
