package org.endivetray.daemon.request;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
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

/**
 * Receives callers' requests over HTTP, validates them and submits them to the router.
 *
 * <p>A request is {@code METHOD /s/SERVICE/PATH} with the headers in docs/INTERFACES.md. A request
 * that fails validation is answered with its result code and never takes a slot.
 *
 * <p>Invariants: a request that was received completely gets exactly one response.
 *
 * <p>This class is thread-safe; its connections are confined to the traffic event loop.
 */
public final class CallerServer {
    private static final String SERVICE_PATH_PREFIX = "/s/";
    private static final String MEMBER_HEADER = "X-Endivetray-Member";
    private static final String DEADLINE_HEADER = "X-Endivetray-Deadline-Millis";
    private static final String PRIORITY_HEADER = "X-Endivetray-Priority";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final int MAX_KEY_CHARS = 200;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final Set<String> FORWARDED_HEADERS =
            Set.of("accept", "content-type", "idempotency-key");
    private static final Set<HttpMethod> REPEATABLE_METHODS =
            Set.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.OPTIONS,
                    HttpMethod.PUT,
                    HttpMethod.DELETE);

    private final Vertx mVertx;
    private final Context mContext;
    private final Settings mSettings;
    private final StateView mView;
    private final Metrics mMetrics;
    private final RequestRouter mRouter;
    private final IdempotencyClaims mClaims;
    private final BooleanSupplier mReady;
    private final HttpServer mServer;
    private final AtomicInteger mOpenRequests = new AtomicInteger();
    private final AtomicLong mNextId = new AtomicLong();
    private final String mIdPrefix;
    private final Map<HttpConnection, AtomicInteger> mRequestCounts = new HashMap<>();
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
        mServer =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setTcpNoDelay(true)
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
                    mServer.connectionHandler(this::enforceHeaderTimeout);
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

    /** Closes the connection unless the first request head on it is complete in time. */
    private void enforceHeaderTimeout(HttpConnection connection) {
        AtomicInteger requestCount = new AtomicInteger();
        mRequestCounts.put(connection, requestCount);
        long timer =
                mVertx.setTimer(
                        mSettings.number(SettingKey.HEADER_MILLIS),
                        ignored -> {
                            if (requestCount.get() == 0) {
                                connection.close();
                            }
                        });
        connection.closeHandler(
                ignored -> {
                    mVertx.cancelTimer(timer);
                    mRequestCounts.remove(connection);
                });
    }

    private void receive(HttpServerRequest http) {
        AtomicInteger requestCount = mRequestCounts.get(http.connection());
        if (requestCount != null) {
            requestCount.incrementAndGet();
        }
        if (http.path() != null && http.path().equals("/readyz")) {
            http.response().setStatusCode(mReady.getAsBoolean() ? 200 : 503).end();
            return;
        }
        mMetrics.onOpenRequests(mOpenRequests.incrementAndGet());
        CallerExchange exchange =
                new CallerExchange(
                        mContext,
                        http,
                        mKeepAliveDisabled,
                        () -> mMetrics.onOpenRequests(mOpenRequests.decrementAndGet()));
        RequestResult failure = checkHead(http);
        if (failure != null) {
            exchange.end(failure);
            return;
        }
        readBody(http, exchange);
    }

    private void refuseInvalid(HttpServerRequest http) {
        new CallerExchange(mContext, http, true, () -> {})
                .end(RequestResult.failed(ResultCode.MALFORMED_REQUEST, "malformed HTTP"));
    }

    /** Returns the first failure found in the request head, or null if it is valid. */
    private RequestResult checkHead(HttpServerRequest http) {
        if (mRefusingNewRequests || !mReady.getAsBoolean() && !mKeepAliveDisabled) {
            return RequestResult.failed(
                    ResultCode.STOPPING,
                    mRefusingNewRequests ? "daemon is stopping" : "daemon is not ready");
        }
        String path = http.path();
        if (path == null || !path.startsWith(SERVICE_PATH_PREFIX) || serviceOf(path).isEmpty()) {
            return RequestResult.failed(
                    ResultCode.MALFORMED_REQUEST, "path must be /s/SERVICE/...");
        }
        if (mView.snapshot().service(serviceOf(path)).isEmpty()) {
            return RequestResult.failed(ResultCode.UNKNOWN_SERVICE, serviceOf(path));
        }
        String member = http.getHeader(MEMBER_HEADER);
        if (member == null || mView.snapshot().member(member).isEmpty()) {
            return RequestResult.failed(ResultCode.UNKNOWN_MEMBER, String.valueOf(member));
        }
        String key = http.getHeader(KEY_HEADER);
        if (key != null && (key.isEmpty() || key.length() > MAX_KEY_CHARS)) {
            return RequestResult.failed(
                    ResultCode.MALFORMED_REQUEST,
                    "idempotency key has an invalid length of " + key.length());
        }
        if (contentLength(http) > mSettings.number(SettingKey.BODY_BYTES)) {
            return RequestResult.failed(
                    ResultCode.REQUEST_TOO_LARGE, "body exceeds the size limit");
        }
        return deadlineMillis(http, 1) < 0
                ? RequestResult.failed(
                        ResultCode.MALFORMED_REQUEST,
                        "deadline must be a positive number of milliseconds")
                : null;
    }

    private static long contentLength(HttpServerRequest http) {
        String length = http.getHeader("content-length");
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private static String serviceOf(String path) {
        int end = path.indexOf('/', SERVICE_PATH_PREFIX.length());
        return end < 0
                ? path.substring(SERVICE_PATH_PREFIX.length())
                : path.substring(SERVICE_PATH_PREFIX.length(), end);
    }

    /** Returns the time to the deadline in milliseconds, or -1 if the header is not positive. */
    private long deadlineMillis(HttpServerRequest http, int defaultMillis) {
        String text = http.getHeader(DEADLINE_HEADER);
        if (text == null) {
            return defaultMillis;
        }
        try {
            long millis = Long.parseLong(text);
            boolean isPositive = millis > 0;
            return isPositive ? Math.min(millis, mSettings.number(SettingKey.MAX_DEADLINE)) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void readBody(HttpServerRequest http, CallerExchange exchange) {
        long received = System.nanoTime();
        Buffer body = Buffer.buffer();
        BodyState state = new BodyState();
        long timer =
                mVertx.setTimer(
                        mSettings.number(SettingKey.HEADER_MILLIS),
                        ignored -> state.fail(exchange, http, "body was not received in time"));
        http.handler(
                bytes -> {
                    if (state.mEnded) {
                        return;
                    }
                    body.appendBuffer(bytes);
                    if (body.length() > mSettings.number(SettingKey.BODY_BYTES)) {
                        state.mEnded = true;
                        exchange.end(
                                RequestResult.failed(
                                        ResultCode.REQUEST_TOO_LARGE,
                                        "body exceeds the size limit"));
                    }
                });
        http.exceptionHandler(
                cause ->
                        state.fail(
                                exchange, http, "connection failed while the body was received"));
        http.endHandler(
                ignored -> {
                    mVertx.cancelTimer(timer);
                    if (!state.mEnded) {
                        state.mEnded = true;
                        route(http, exchange, body, received);
                    }
                });
    }

    /** Tracks whether the receipt of a request body has ended, by completion or by rejection. */
    private static final class BodyState {
        private boolean mEnded;

        void fail(CallerExchange exchange, HttpServerRequest http, String detail) {
            if (!mEnded) {
                mEnded = true;
                exchange.end(RequestResult.failed(ResultCode.MALFORMED_REQUEST, detail));
            }
        }
    }

    private void route(
            HttpServerRequest http, CallerExchange exchange, Buffer body, long receivedNanos) {
        Snapshot snapshot = mView.snapshot();
        String name = serviceOf(http.path());
        ServiceDeclaration service = snapshot.service(name).orElse(null);
        Member member = snapshot.member(http.getHeader(MEMBER_HEADER)).orElse(null);
        if (service == null || member == null) {
            exchange.end(RequestResult.failed(ResultCode.UNKNOWN_SERVICE, name));
            return;
        }
        RoutedRequest.Call call =
                new RoutedRequest.Call(http.method(), minionUri(http, name), headers(http), body);
        long millis = deadlineMillis(http, service.deadlineMillis());
        long deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        ReceivedRequest received =
                new ReceivedRequest(
                        http, exchange, service, member, call, receivedNanos, deadlineNanos);
        String key = http.getHeader(KEY_HEADER);
        if (received.isRepeatable() || key == null) {
            submit(received, exchange);
            return;
        }
        mClaims.claim(IdempotencyClaims.keyOf(name, member.name(), key), deadlineNanos)
                .onSuccess(claim -> submitClaimed(received, claim));
    }

    private void submitClaimed(ReceivedRequest received, IdempotencyClaims.Claim claim) {
        if (claim.isHeld()) {
            submit(received, new ClaimSettlingSink(mClaims, claim, received.exchange()));
        } else {
            received.exchange().end(claim.result());
        }
    }

    private void submit(ReceivedRequest received, ResultSink sink) {
        String id = mIdPrefix + Long.toString(mNextId.incrementAndGet(), Character.MAX_RADIX);
        RoutedRequest request = received.toRequest(id, sink);
        if (!mRouter.submit(request)) {
            sink.end(RequestResult.failed(ResultCode.RING_FULL, "the ring of the router is full"));
            return;
        }
        received.exchange().setCallerGoneAction(() -> mRouter.cancel(request));
    }

    /**
     * A request that was received completely and passed all checks.
     *
     * <p>This class is immutable; its exchange is confined to the traffic event loop.
     */
    private record ReceivedRequest(
            HttpServerRequest http,
            CallerExchange exchange,
            ServiceDeclaration service,
            Member member,
            RoutedRequest.Call call,
            long receivedNanos,
            long deadlineNanos) {
        boolean isRepeatable() {
            return REPEATABLE_METHODS.contains(call.method())
                    || (call.method() == HttpMethod.POST && service.repeatablePost());
        }

        private boolean isUrgent() {
            String priority = http.getHeader(PRIORITY_HEADER);
            return priority == null ? service.urgent() : priority.equals("urgent");
        }

        RoutedRequest toRequest(String id, ResultSink sink) {
            return new RoutedRequest(
                    id,
                    service.name(),
                    call,
                    member,
                    isUrgent(),
                    isRepeatable(),
                    receivedNanos,
                    deadlineNanos,
                    sink);
        }
    }

    private static String minionUri(HttpServerRequest http, String service) {
        String rest = http.uri().substring(SERVICE_PATH_PREFIX.length() + service.length());
        return rest.startsWith("/") ? rest : "/" + rest;
    }

    private static Map<String, String> headers(HttpServerRequest http) {
        Map<String, String> headers = new HashMap<>();
        for (String name : FORWARDED_HEADERS) {
            String value = http.getHeader(name);
            if (value != null) {
                headers.put(name, value);
            }
        }
        headers.put(MEMBER_HEADER, http.getHeader(MEMBER_HEADER));
        return headers;
    }
}
