package org.endivetray.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.endivetray.Json;
import org.endivetray.ListedHost;
import org.endivetray.MinionEndpoint;

/**
 * A stand-in for the minions of a site, each on its own port, with faults and counts.
 *
 * <p>This class is thread-safe; its state is confined to one event loop.
 */
public final class MinionStandIn {
    /** Maximum number of requests that a minion runs concurrently. */
    public static final int SLOTS_PER_MINION = 8;

    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final Map<String, Minion> mMinions = new TreeMap<>();
    private final Map<String, Integer> mRunsByKey = new HashMap<>();
    private final long mWorkMillis;
    private long mRuns;
    private long mCancelled;

    /**
     * Constructs minions that have not been started.
     *
     * @param workMillis default duration of a request, in milliseconds
     */
    public MinionStandIn(long workMillis) {
        mWorkMillis = workMillis;
    }

    /** Starts a minion for each worker and service, and returns the ports by minion name. */
    public Future<Map<String, Integer>> start(List<ListedHost> hosts, List<String> services) {
        List<Future<?>> started = new ArrayList<>();
        Map<String, Integer> ports = new TreeMap<>();
        for (ListedHost host : hosts) {
            for (String service : services) {
                Minion minion = new Minion(service);
                String name = minionName(host.worker(), service);
                mMinions.put(name, minion);
                started.add(minion.start().onSuccess(port -> ports.put(name, port)));
            }
        }
        return Future.all(started).map(ports);
    }

    /** Starts the HTTP server for faults and counts, and returns its port. */
    public Future<Integer> startControl() {
        return mVertx.createHttpServer()
                .requestHandler(this::handleCommand)
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /** Closes all ports and connections. */
    public Future<Void> stop() {
        return mVertx.close();
    }

    /** Returns the name of the minion of the service on the worker. */
    public static String minionName(String worker, String service) {
        return worker + "/" + service;
    }

    /** Returns a lookup of endpoints by the ports of the named minions. */
    public static HostTable.MinionAddresses addresses(Map<String, Integer> ports) {
        return (worker, service) ->
                new MinionEndpoint(service, "127.0.0.1", ports.get(minionName(worker, service)));
    }

    private void handleCommand(HttpServerRequest request) {
        if (request.path().equals("/fault")) {
            MinionFault fault = MinionFault.valueOf(request.getParam("kind"));
            mMinions.forEach(
                    (name, minion) -> {
                        if (name.startsWith(request.getParam("worker", ""))) {
                            minion.mFault = fault;
                        }
                    });
            request.response().end();
        } else {
            request.response().end(stats().toString());
        }
    }

    private ObjectNode stats() {
        ObjectNode stats = Json.mapper().createObjectNode();
        long now = System.nanoTime();
        ObjectNode busy = stats.putObject("busySlotSeconds");
        ObjectNode received = stats.putObject("receivedByWorker");
        int maxActive = 0;
        int maxConnections = 0;
        long overLimit = 0;
        Map<String, Double> byService = new TreeMap<>();
        for (Map.Entry<String, Minion> entry : mMinions.entrySet()) {
            Minion minion = entry.getValue();
            minion.accountBusyTime(now);
            byService.merge(minion.mService, minion.mBusySlotNanos / 1e9, Double::sum);
            maxActive = Math.max(maxActive, minion.mMaxActive);
            maxConnections = Math.max(maxConnections, minion.mMaxConnections);
            overLimit += minion.mRefusedOverLimit;
            String worker = entry.getKey().substring(0, entry.getKey().indexOf('/'));
            received.put(worker, received.path(worker).asLong() + minion.mReceived);
        }
        byService.forEach(busy::put);
        stats.put("runs", mRuns);
        stats.put("cancelled", mCancelled);
        stats.put("maxInFlight", maxActive);
        stats.put("maxConnections", maxConnections);
        stats.put("overLimit", overLimit);
        stats.put("duplicated", mRunsByKey.values().stream().filter(runs -> runs > 1).count());
        stats.put("keyedRuns", mRunsByKey.size());
        return stats;
    }

    /** A minion of one service, with its server, fault and counts. */
    private final class Minion {
        private final String mService;
        private final HttpServer mServer =
                mVertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        private MinionFault mFault = MinionFault.NONE;
        private int mActive;
        private int mMaxActive;
        private int mConnections;
        private int mMaxConnections;
        private long mRefusedOverLimit;
        private long mReceived;
        private double mBusySlotNanos;
        private long mAccountedUntilNanos = System.nanoTime();

        Minion(String service) {
            mService = service;
        }

        Future<Integer> start() {
            mServer.connectionHandler(
                    connection -> {
                        mConnections++;
                        mMaxConnections = Math.max(mMaxConnections, mConnections);
                        connection.closeHandler(ignored -> mConnections--);
                    });
            mServer.requestHandler(
                    request -> request.body().onSuccess(body -> handleRequest(request)));
            return mServer.listen(0, "127.0.0.1").map(HttpServer::actualPort);
        }

        void accountBusyTime(long now) {
            mBusySlotNanos += (double) mActive * (now - mAccountedUntilNanos);
            mAccountedUntilNanos = now;
        }

        private void handleRequest(HttpServerRequest request) {
            mReceived++;
            if (mFault == MinionFault.REFUSE || mActive >= SLOTS_PER_MINION) {
                mRefusedOverLimit += mFault == MinionFault.REFUSE ? 0 : 1;
                request.response()
                        .putHeader("X-Minion-Refused", "not-run")
                        .setStatusCode(503)
                        .end();
                return;
            }
            changeActive(1);
            mRuns++;
            String key = request.getHeader("Idempotency-Key");
            if (key != null) {
                mRunsByKey.merge(key, 1, Integer::sum);
            }
            long work = Long.parseLong(request.getParam("work", Long.toString(mWorkMillis)));
            boolean[] ended = {false};
            long timer =
                    mVertx.setTimer(
                            Math.max(1, work),
                            ignored -> {
                                if (!ended[0] && mFault != MinionFault.STALL) {
                                    ended[0] = true;
                                    changeActive(-1);
                                    respond(request);
                                }
                            });
            request.response()
                    .closeHandler(
                            ignored -> {
                                if (!ended[0]) {
                                    ended[0] = true;
                                    changeActive(-1);
                                    mCancelled++;
                                    mVertx.cancelTimer(timer);
                                }
                            });
        }

        private void changeActive(int delta) {
            accountBusyTime(System.nanoTime());
            mActive += delta;
            mMaxActive = Math.max(mMaxActive, mActive);
        }

        private void respond(HttpServerRequest request) {
            HttpServerResponse response = request.response();
            String token = request.getParam("token", "none");
            int bytes = Integer.parseInt(request.getParam("bytes", "0"));
            String text = ResponseBodies.of(mService, token, bytes);
            response.putHeader("X-Request-Id", String.valueOf(request.getHeader("X-Request-Id")));
            response.putHeader("content-type", "text/plain");
            switch (mFault) {
                case FAIL -> response.setStatusCode(500).end("failed\n");
                case TRUNCATE -> {
                    response.putHeader("content-length", Integer.toString(text.length()));
                    response.write(text.substring(0, text.length() / 2))
                            .onComplete(ignored -> request.connection().close());
                }
                case CROSS -> {
                    response.putHeader("X-Request-Id", "other");
                    response.end(ResponseBodies.of(mService, "other", bytes));
                }
                case DROP -> request.connection().close();
                case TRAIL ->
                        response.end(Buffer.buffer(text))
                                .onComplete(ignored -> sendTrailingBytes(request));
                default -> response.end(text);
            }
        }

        private void sendTrailingBytes(HttpServerRequest request) {
            request.toNetSocket().onSuccess(socket -> socket.write("trailing bytes\r\n\r\n"));
        }
    }
}
