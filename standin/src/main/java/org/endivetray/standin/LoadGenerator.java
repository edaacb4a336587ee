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
 * Callers behind a balancer: they send requests to ready daemons and check every answer.
 *
 * <p>A request whose connection is lost is sent again through another daemon if it may be, as a
 * caller would: a GET, or a POST with its idempotency key.
 *
 * <p>This class is not thread-safe; one event loop owns it.
 */
final class LoadGenerator {
    private static final int MAX_TRIES = 3;
    private static final int SHORT_BYTES = 200;
    private static final int LONG_BYTES = 100_000;
    private static final long BALANCER_MILLIS = 200;
    private static final long GRACE_MILLIS = 1_500;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final List<Target> mTargets;
    private final double[] mWeights;
    private final Set<Integer> mFaulty;
    private final Site mSite;
    private final SplittableRandom mRandom;
    private final RequestStats mTally;
    private final long mDeadlineMillis;
    private final long mWorkMillis;
    private long mNext;
    private int mOpen;

    LoadGenerator(
            Vertx vertx,
            Site site,
            List<Target> targets,
            double skew,
            Set<Integer> faulty,
            long seed,
            long deadlineMillis,
            long workMillis,
            RequestStats tally) {
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
        mFaulty = faulty;
        mRandom = new SplittableRandom(seed);
        mDeadlineMillis = deadlineMillis;
        mWorkMillis = workMillis;
        mTally = tally;
    }

    /** Asks the daemons at intervals whether they are ready, as a balancer does. */
    void startReadinessProbes() {
        mVertx.setPeriodic(BALANCER_MILLIS, timer -> mTargets.forEach(this::probe));
    }

    int openRequests() {
        return mOpen;
    }

    /** Sends one request for the service and ends when its result is known. */
    Future<Void> send(String service, boolean keyed) {
        String token = "t" + mNext++;
        String member = mSite.members().get(mRandom.nextInt(mSite.members().size()));
        mOpen++;
        mTally.increment("offered");
        Call call = new Call(service, token, member, keyed, System.nanoTime(), 1);
        return send(call, -1).onComplete(ignored -> mOpen--);
    }

    /** Sends one request straight to a minion and records the time it takes. */
    Future<Void> sendDirect(int port, String service) {
        String token = "d" + mNext++;
        long began = System.nanoTime();
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
                                        + bytesOf(token));
        return mClient.request(options)
                .compose(request -> request.putHeader("X-Request-Id", token).send())
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onSuccess(
                        status -> {
                            if (status == 200) {
                                mTally.recordDirectLatency(System.nanoTime() - began);
                            } else {
                                mTally.increment("directRefused");
                            }
                        })
                .otherwiseEmpty()
                .mapEmpty();
    }

    /** Returns the length of the answer to ask for; one in ten is long. */
    private static int bytesOf(String token) {
        return token.endsWith("7") ? LONG_BYTES : SHORT_BYTES;
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
                                .setTimeout(BALANCER_MILLIS * 2)
                                .setURI("/readyz"))
                .compose(request -> request.idleTimeout(BALANCER_MILLIS * 2).send())
                .onSuccess(response -> target.setReady(response.statusCode() == 200))
                .onFailure(cause -> target.setReady(false));
    }

    private int pick(int except) {
        double total = 0;
        for (int i = 0; i < mTargets.size(); i++) {
            total += isUsable(i, except) ? mWeights[i] : 0;
        }
        double at = mRandom.nextDouble() * total;
        int last = -1;
        for (int i = 0; i < mTargets.size(); i++) {
            if (isUsable(i, except)) {
                last = i;
                at -= mWeights[i];
                if (at <= 0) {
                    return i;
                }
            }
        }
        return last;
    }

    private boolean isUsable(int index, int except) {
        return index != except && mTargets.get(index).isReady();
    }

    private Future<Void> send(Call call, int except) {
        int index = pick(except);
        if (index < 0) {
            mTally.increment("noEntryHost");
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
                        + bytesOf(call.token());
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
                            request.idleTimeout(mDeadlineMillis + GRACE_MILLIS);
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
                                                    classify(call, response, body.toString());
                                                    return (Void) null;
                                                }))
                .recover(cause -> lost(call, index, cause));
    }

    private Future<Void> lost(Call call, int index, Throwable cause) {
        boolean excused = mFaulty.contains(index);
        mTally.increment(excused ? "lostWithEntryHost" : "cut");
        if (!excused) {
            System.err.println("cut: target=" + index + " cause=" + cause);
        }
        if (call.tries() >= MAX_TRIES) {
            mTally.increment("gaveUp");
            return Future.succeededFuture();
        }
        return send(call.withNextTry(), index);
    }

    private void classify(Call call, HttpClientResponse response, String body) {
        String outcome = response.getHeader("X-Endivetray-Outcome");
        mTally.incrementCode(String.valueOf(response.getHeader("X-Endivetray-Code")));
        long nanos = System.nanoTime() - call.beganNanos();
        if (!"answered".equals(outcome)) {
            mTally.increment(outcome == null ? "wrong" : outcome);
            return;
        }
        if (response.statusCode() >= 500) {
            mTally.increment("failedByMinion");
            return;
        }
        int bytes = bytesOf(call.token());
        if (!body.equals(ResponseBodies.of(call.service(), call.token(), bytes))) {
            mTally.increment("wrong");
            return;
        }
        mTally.increment("answered");
        mTally.recordLatency(nanos);
        boolean inTime = nanos <= (mDeadlineMillis + 100) * 1_000_000L * call.tries();
        mTally.increment(inTime ? "answeredInTime" : "answeredLate");
    }

    /** Returns the targets that are ready. */
    List<Target> readyTargets() {
        return new ArrayList<>(mTargets.stream().filter(Target::isReady).toList());
    }

    /** One request of a caller. */
    private record Call(
            String service,
            String token,
            String member,
            boolean keyed,
            long beganNanos,
            int tries) {
        Call withNextTry() {
            return new Call(service, token, member, keyed, beganNanos, tries + 1);
        }
    }
}
