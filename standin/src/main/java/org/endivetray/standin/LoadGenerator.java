package org.endivetray.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Sends requests to ready daemons, as callers behind a load balancer do, and checks every response.
 *
 * <p>A request whose connection is lost is retried through another daemon. A retry is safe because
 * each request is a GET, or a POST with an idempotency key.
 *
 * <p>This class is not thread-safe; it is confined to one event loop.
 */
final class LoadGenerator {
    private static final int MAX_ATTEMPTS = 3;
    private static final int SHORT_RESPONSE_BYTES = 200;
    private static final int LONG_RESPONSE_BYTES = 100_000;
    private static final long PROBE_INTERVAL_MILLIS = 200;
    private static final long RESPONSE_GRACE_MILLIS = 1_500;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final List<Target> mTargets;
    private final double[] mWeights;
    private final Set<Integer> mFaultyTargets;
    private final Site mSite;
    private final SplittableRandom mRandom;
    private final RequestStats mStats;
    private final long mDeadlineMillis;
    private final long mWorkMillis;
    private long mNextToken;
    private int mOpenRequests;

    LoadGenerator(
            Vertx vertx,
            Site site,
            List<Target> targets,
            double skew,
            Set<Integer> faulty,
            long seed,
            long deadlineMillis,
            long workMillis,
            RequestStats stats) {
        mVertx = vertx;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setTcpNoDelay(true)
                                .setMaxHeaderSize(16_384)
                                .setKeepAliveTimeout(5),
                        new PoolOptions().setHttp1MaxSize(600).setMaxWaitQueueSize(20_000));
        mSite = site;
        mTargets = targets;
        mWeights = weights(targets.size(), skew);
        mFaultyTargets = faulty;
        mRandom = new SplittableRandom(seed);
        mDeadlineMillis = deadlineMillis;
        mWorkMillis = workMillis;
        mStats = stats;
    }

    /** Starts to probe the readiness of the daemons at intervals, as a load balancer does. */
    void startReadinessProbes() {
        mVertx.setPeriodic(PROBE_INTERVAL_MILLIS, timer -> mTargets.forEach(this::probe));
    }

    int openRequests() {
        return mOpenRequests;
    }

    /** Sends one request for the service and completes when its outcome is known. */
    Future<Void> send(String service, boolean keyed) {
        String token = "t" + mNextToken++;
        String member = mSite.members().get(mRandom.nextInt(mSite.members().size()));
        mOpenRequests++;
        mStats.increment("offered");
        Call call = new Call(service, token, member, keyed, System.nanoTime(), 1);
        return send(call, -1).onComplete(ignored -> mOpenRequests--);
    }

    /** Sends one request directly to a minion and records its latency. */
    Future<Void> sendDirect(int port, String service) {
        String token = "d" + mNextToken++;
        long sentNanos = System.nanoTime();
        RequestOptions options =
                new RequestOptions()
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .setURI(
                                "/x?token="
                                        + token
                                        + "&work="
                                        + mWorkMillis
                                        + "&bytes="
                                        + responseBytes(token));
        return mClient.request(options)
                .compose(request -> request.putHeader("X-Request-Id", token).send())
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onSuccess(
                        status -> {
                            if (status == 200) {
                                mStats.recordDirectLatency(System.nanoTime() - sentNanos);
                            } else {
                                mStats.increment("directRefused");
                            }
                        })
                .otherwiseEmpty()
                .mapEmpty();
    }

    /** Returns the requested length of the response; one response in ten is long. */
    private static int responseBytes(String token) {
        return token.endsWith("7") ? LONG_RESPONSE_BYTES : SHORT_RESPONSE_BYTES;
    }

    private static double[] weights(int size, double skew) {
        double[] weights = new double[size];
        for (int i = 0; i < size; i++) {
            weights[i] = Math.pow(skew, i);
        }
        return weights;
    }

    private void probe(Target target) {
        mClient.request(
                        new RequestOptions()
                                .setHost("127.0.0.1")
                                .setPort(target.callersPort())
                                .setTimeout(PROBE_INTERVAL_MILLIS * 2)
                                .setURI("/readyz"))
                .compose(request -> request.idleTimeout(PROBE_INTERVAL_MILLIS * 2).send())
                .onSuccess(response -> target.setReady(response.statusCode() == 200))
                .onFailure(cause -> target.setReady(false));
    }

    private int pickTarget(int excluded) {
        double totalWeight = 0;
        for (int i = 0; i < mTargets.size(); i++) {
            totalWeight += isUsable(i, excluded) ? mWeights[i] : 0;
        }
        double remaining = mRandom.nextDouble() * totalWeight;
        int last = -1;
        for (int i = 0; i < mTargets.size(); i++) {
            if (isUsable(i, excluded)) {
                last = i;
                remaining -= mWeights[i];
                if (remaining <= 0) {
                    return i;
                }
            }
        }
        return last;
    }

    private boolean isUsable(int index, int excluded) {
        return index != excluded && mTargets.get(index).isReady();
    }

    private Future<Void> send(Call call, int excluded) {
        int index = pickTarget(excluded);
        if (index < 0) {
            mStats.increment("noEntryHost");
            return Future.succeededFuture();
        }
        String uri =
                "/s/"
                        + call.service()
                        + "/x?token="
                        + call.token()
                        + "&work="
                        + mWorkMillis
                        + "&bytes="
                        + responseBytes(call.token());
        RequestOptions options =
                new RequestOptions()
                        .setMethod(call.keyed() ? HttpMethod.POST : HttpMethod.GET)
                        .setHost("127.0.0.1")
                        .setPort(mTargets.get(index).callersPort())
                        .setConnectTimeout(1_000)
                        .setURI(uri);
        return mClient.request(options)
                .compose(
                        request -> {
                            request.putHeader("X-Endivetray-Member", call.member());
                            request.putHeader(
                                    "X-Endivetray-Deadline-Millis", Long.toString(mDeadlineMillis));
                            request.idleTimeout(mDeadlineMillis + RESPONSE_GRACE_MILLIS);
                            if (call.keyed()) {
                                request.putHeader("Idempotency-Key", "k-" + call.token());
                            }
                            return request.send();
                        })
                .compose(
                        response ->
                                response.body()
                                        .map(
                                                body -> {
                                                    recordResponse(call, response, body.toString());
                                                    return (Void) null;
                                                }))
                .recover(cause -> onConnectionLost(call, index, cause));
    }

    private Future<Void> onConnectionLost(Call call, int index, Throwable cause) {
        boolean isExpected = mFaultyTargets.contains(index);
        mStats.increment(isExpected ? "lostWithEntryHost" : "cut");
        if (!isExpected) {
            System.err.println("cut: target=" + index + " cause=" + cause);
        }
        if (call.attempt() >= MAX_ATTEMPTS) {
            mStats.increment("gaveUp");
            return Future.succeededFuture();
        }
        return send(call.withNextAttempt(), index);
    }

    private void recordResponse(Call call, HttpClientResponse response, String body) {
        String outcome = response.getHeader("X-Endivetray-Outcome");
        mStats.incrementCode(String.valueOf(response.getHeader("X-Endivetray-Code")));
        long latencyNanos = System.nanoTime() - call.startNanos();
        if (!"answered".equals(outcome)) {
            mStats.increment(outcome == null ? "wrong" : outcome);
            return;
        }
        if (response.statusCode() >= 500) {
            mStats.increment("failedByMinion");
            return;
        }
        int bytes = responseBytes(call.token());
        if (!body.equals(ResponseBodies.of(call.service(), call.token(), bytes))) {
            mStats.increment("wrong");
            return;
        }
        mStats.increment("answered");
        mStats.recordLatency(latencyNanos);
        boolean inTime = latencyNanos <= (mDeadlineMillis + 100) * 1_000_000L * call.attempt();
        mStats.increment(inTime ? "answeredInTime" : "answeredLate");
    }

    /** Returns the daemons that are ready. */
    List<Target> readyTargets() {
        return new ArrayList<>(mTargets.stream().filter(Target::isReady).toList());
    }

    /** An attempt to send a request. */
    private record Call(
            String service,
            String token,
            String member,
            boolean keyed,
            long startNanos,
            int attempt) {
        Call withNextAttempt() {
            return new Call(service, token, member, keyed, startNanos, attempt + 1);
        }
    }
}
