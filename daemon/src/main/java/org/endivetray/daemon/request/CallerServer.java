package org.endivetray.daemon.request;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.endivetray.Member;
import org.endivetray.ResultCode;
import org.endivetray.ServiceDeclaration;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateView;
import org.endivetray.platform.Store;
import org.endivetray.platform.intake.BodyReceiver;
import org.endivetray.platform.intake.IntakeLog;
import org.endivetray.platform.intake.IntakeObserver;
import org.endivetray.platform.intake.PortConnections;
import org.endivetray.policy.intake.IntakeBudget;
import org.endivetray.policy.intake.IntakeReason;

/**
 * Receives callers' requests over HTTP, validates them and submits them to the router.
 *
 * <p>A request that fails validation is answered with its result code and never takes a slot.
 *
 * <p>Invariants: a request that was received completely gets exactly one response; the bytes that
 * are held of all requests, and the open connections, stay within the limits.
 *
 * <p>This class is thread-safe; its connections are confined to the traffic event loop.
 */
public final class CallerServer {
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    /** Time after which a refused request may be sent again, in seconds. */
    private static final String RETRY_AFTER_SECONDS = "1";

    private final Vertx mVertx;
    private final Context mContext;
    private final Settings mSettings;
    private final StateView mView;
    private final Metrics mMetrics;
    private final RequestRouter mRouter;
    private final IdempotencyClaims mClaims;
    private final BooleanSupplier mReady;
    private final IntakeObserver mObserver;
    private final PortConnections mConnections;
    private final IntakeBudget mBudget;
    private final HttpServer mServer;
    private final AtomicInteger mOpenRequests = new AtomicInteger();
    private final AtomicLong mNextId = new AtomicLong();
    private final String mIdPrefix;
    private volatile boolean mRefusingNewRequests;
    private volatile boolean mKeepAliveDisabled;

    /**
     * Constructs a server that has not been started.
     *
     * @param vertx the event loops, not null
     * @param context the traffic event loop, not null
     * @param settings the validated settings, not null
     * @param view the stored state, not null
     * @param metrics counts open requests, not null
     * @param router routes the validated requests, not null
     * @param store holds the claims of idempotency keys, not null
     * @param ready returns whether this daemon may accept requests, not null
     * @param incarnation this daemon's incarnation, which keeps request ids unique over restarts
     */
    public CallerServer(
            Vertx vertx,
            Context context,
            Settings settings,
            StateView view,
            Metrics metrics,
            RequestRouter router,
            Store store,
            BooleanSupplier ready,
            long incarnation) {
        mVertx = vertx;
        mContext = context;
        mSettings = settings;
        mView = view;
        mMetrics = metrics;
        mRouter = router;
        mClaims = new IdempotencyClaims(vertx, store, settings.number(SettingKey.CLAIM_HOURS));
        mReady = ready;
        mIdPrefix = settings.text(SettingKey.NAME) + "-" + Long.toString(incarnation, 36) + "-";
        mObserver = new IntakeLog("callers", metrics::onRefusedBeforeReceipt);
        mConnections =
                new PortConnections(settings.number(SettingKey.CALLER_CONNECTIONS), mObserver)
                        .withHeadTimeout(settings.number(SettingKey.HEADER_MILLIS));
        mBudget = new IntakeBudget(settings.intakeBytes(settings.number(SettingKey.BODY_BYTES)));
        mServer =
                mConnections.server(
                        vertx,
                        new HttpServerOptions()
                                .setTcpNoDelay(true)
                                .setAcceptBacklog(ACCEPT_BACKLOG)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                                .setIdleTimeout(2 * settings.number(SettingKey.MAX_DEADLINE)));
    }

    /** Starts listening and returns the port. */
    public Future<Integer> start() {
        Promise<Integer> started = Promise.promise();
        mContext.runOnContext(
                ignored -> {
                    mServer.requestHandler(this::receive);
                    mServer.invalidRequestHandler(this::refuseInvalid);
                    mServer.listen(
                                    mSettings.number(SettingKey.CALLERS_PORT),
                                    mSettings.text(SettingKey.CALLERS_HOST))
                            .map(HttpServer::actualPort)
                            .onComplete(started);
                });
        return started.future();
    }

    /** Closes each connection after the response to the next request on it. */
    public void disableKeepAlive() {
        mKeepAliveDisabled = true;
    }

    /** Refuses all requests that are received from now on. */
    public void refuseNewRequests() {
        mRefusingNewRequests = true;
    }

    /** Returns the number of requests whose response has not ended. */
    public int openRequests() {
        return mOpenRequests.get();
    }

    /** Closes the server and all its connections. */
    public Future<Void> stop() {
        return mServer.close();
    }

    private void receive(HttpServerRequest http) {
        http.response().exceptionHandler(cause -> {});
        if (mConnections.closeIfAnswersAreNotRead(http)) {
            return;
        }
        if (http.path() != null && http.path().equals("/readyz")) {
            http.response().setStatusCode(mReady.getAsBoolean() ? 200 : 503);
            mConnections.answer(http, "");
            return;
        }
        mMetrics.onOpenRequests(mOpenRequests.incrementAndGet());
        new Receipt(http).start();
    }

    private void refuseInvalid(HttpServerRequest http) {
        new CallerExchange(mContext, http, true, () -> {})
                .end(RequestResult.failed(ResultCode.MALFORMED_REQUEST, "malformed HTTP"));
    }

    /**
     * A request that is being received or has no response yet.
     *
     * <p>Invariants: the room of its body is returned when the response has ended or its connection
     * was closed.
     */
    private final class Receipt implements BodyReceiver.Handler {
        private final long mReceivedNanos = System.nanoTime();
        private final HttpServerRequest mRequest;
        private final CallerHead mHead;
        private final CallerExchange mExchange;
        private final BodyReceiver mBody;
        private Runnable mReturnRoom = () -> {};
        private long mTimer;

        private Receipt(HttpServerRequest request) {
            mRequest = request;
            mHead = new CallerHead(request, mSettings.number(SettingKey.MAX_DEADLINE));
            mExchange =
                    new CallerExchange(mContext, request, mKeepAliveDisabled, this::onResponseEnd);
            mBody =
                    new BodyReceiver(
                            mVertx,
                            request,
                            mConnections,
                            mBudget,
                            mSettings.number(SettingKey.BODY_BYTES),
                            this);
        }

        private void start() {
            RequestResult failure = failureOfHead();
            if (failure != null) {
                mBody.discard();
                mExchange.end(failure);
                return;
            }
            mTimer =
                    mVertx.setTimer(
                            mSettings.number(SettingKey.HEADER_MILLIS), ignored -> mBody.timeOut());
            mBody.start();
        }

        private RequestResult failureOfHead() {
            if (mRefusingNewRequests || !mReady.getAsBoolean() && !mKeepAliveDisabled) {
                return RequestResult.failed(
                        ResultCode.STOPPING,
                        mRefusingNewRequests ? "daemon is stopping" : "daemon is not ready");
            }
            return mHead.failure(mView.snapshot());
        }

        @Override
        public void onBody(byte[] body, Runnable answered) {
            mVertx.cancelTimer(mTimer);
            mReturnRoom = answered;
            route(Buffer.buffer(body));
        }

        @Override
        public void onRefused(IntakeReason reason) {
            mVertx.cancelTimer(mTimer);
            mObserver.onRefused(reason);
            mRequest.response().putHeader("Connection", "close");
            if (reason == IntakeReason.BUSY) {
                mRequest.response().putHeader("Retry-After", RETRY_AFTER_SECONDS);
            }
            mExchange.end(
                    switch (reason) {
                        case TOO_LARGE ->
                                RequestResult.failed(
                                        ResultCode.REQUEST_TOO_LARGE,
                                        "body exceeds the size limit");
                        case TIMED_OUT ->
                                RequestResult.failed(
                                        ResultCode.MALFORMED_REQUEST,
                                        "body was not received in time");
                        default ->
                                RequestResult.failed(
                                        ResultCode.INTAKE_FULL, "the request has not run");
                    });
        }

        @Override
        public void onClosed(boolean isEvicted) {
            mVertx.cancelTimer(mTimer);
            if (isEvicted) {
                mObserver.onRefused(IntakeReason.TOO_SLOW);
            }
        }

        private void onResponseEnd() {
            mMetrics.onOpenRequests(mOpenRequests.decrementAndGet());
            mReturnRoom.run();
        }

        private void route(Buffer body) {
            Snapshot snapshot = mView.snapshot();
            String name = mHead.service();
            ServiceDeclaration service = snapshot.service(name).orElse(null);
            Member member = snapshot.member(mHead.member()).orElse(null);
            if (service == null || member == null) {
                mExchange.end(RequestResult.failed(ResultCode.UNKNOWN_SERVICE, name));
                return;
            }
            long millis = mHead.deadlineMillis(service.deadlineMillis());
            long deadlineNanos = mReceivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
            String key = mHead.idempotencyKey();
            if (mHead.isRepeatable(service) || key == null) {
                submit(toRequest(service, member, body, deadlineNanos, mExchange));
                return;
            }
            mClaims.claim(IdempotencyClaims.keyOf(name, member.name(), key), deadlineNanos)
                    .onSuccess(
                            claim -> {
                                if (!claim.isHeld()) {
                                    mExchange.end(claim.result());
                                    return;
                                }
                                ResultSink sink = new ClaimSettlingSink(mClaims, claim, mExchange);
                                submit(toRequest(service, member, body, deadlineNanos, sink));
                            });
        }

        private RoutedRequest toRequest(
                ServiceDeclaration service,
                Member member,
                Buffer body,
                long deadlineNanos,
                ResultSink sink) {
            return new RoutedRequest(
                    mIdPrefix + Long.toString(mNextId.incrementAndGet(), Character.MAX_RADIX),
                    service.name(),
                    new RoutedRequest.Call(
                            mHead.method(), mHead.minionUri(), mHead.forwardedHeaders(), body),
                    member,
                    mHead.isUrgent(service),
                    mHead.isRepeatable(service),
                    mReceivedNanos,
                    deadlineNanos,
                    sink);
        }

        private void submit(RoutedRequest request) {
            if (!mRouter.submit(request)) {
                request.sink()
                        .end(
                                RequestResult.failed(
                                        ResultCode.RING_FULL, "the ring of the router is full"));
                return;
            }
            mExchange.setCallerGoneAction(() -> mRouter.cancel(request));
        }
    }
}
