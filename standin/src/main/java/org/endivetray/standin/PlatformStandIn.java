package org.endivetray.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import org.endivetray.Json;
import org.endivetray.ListedHost;

/**
 * A stand-in of the platform: store, host list and worker interface on one port, with faults.
 *
 * <p>This class is thread-safe; its state belongs to one event loop.
 */
public final class PlatformStandIn {
    private static final long TICK_MILLIS = 20;

    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final HttpServer mServer =
            mVertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
    private final MemoryStore mStore = new MemoryStore();
    private final HostTable mHosts;
    private StoreFault mFault = StoreFault.NONE;
    private long mFaultMillis;
    private int mFaultsLeft;
    private long mReads;
    private long mWrites;

    /**
     * Constructs a platform that has not been started.
     *
     * @param hosts the rows of the host list, not null
     * @param minions finds the address of a minion, not null
     * @param lagMillis time by which the host list lags behind, in milliseconds
     * @param rebootMillis time that a reboot takes, in milliseconds
     */
    public PlatformStandIn(
            List<ListedHost> hosts,
            HostTable.MinionAddresses minions,
            long lagMillis,
            long rebootMillis) {
        mHosts = new HostTable(hosts, minions, lagMillis, rebootMillis);
    }

    /** Starts to listen and returns the port. */
    public Future<Integer> start(int port) {
        mVertx.setPeriodic(
                TICK_MILLIS,
                timer -> {
                    mStore.tick(System.currentTimeMillis());
                    mHosts.tick(System.currentTimeMillis());
                });
        return mServer.requestHandler(this::receive)
                .listen(port, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /** Stops listening. */
    public Future<Void> stop() {
        return mVertx.close();
    }

    private void receive(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            boolean ofStore =
                                    request.path().startsWith("/v1/kv")
                                            || request.path().startsWith("/v1/range")
                                            || request.path().startsWith("/v1/lease")
                                            || request.path().startsWith("/v1/watch");
                            if (ofStore) {
                                store(request, body);
                            } else {
                                other(request);
                            }
                        });
    }

    private void store(HttpServerRequest request, Buffer body) {
        switch (mFault) {
            case DOWN -> request.connection().close();
            case SLOW -> mVertx.setTimer(mFaultMillis, timer -> serve(request, body));
            case LOSE_ANSWERS -> loseAnswer(request, body);
            default -> serve(request, body);
        }
    }

    private void loseAnswer(HttpServerRequest request, Buffer body) {
        boolean isWrite = request.method().name().equals("PUT");
        if (!isWrite || mFaultsLeft <= 0) {
            serve(request, body);
            return;
        }
        mFaultsLeft--;
        mStore.write(
                request.getParam("key"),
                Long.parseLong(request.getParam("expect")),
                body.toString(),
                request.getParam("lease", ""));
        request.connection().close();
    }

    private void serve(HttpServerRequest request, Buffer body) {
        String path = request.path();
        if (path.equals("/v1/kv")) {
            keyValue(request, body);
        } else if (path.equals("/v1/range")) {
            mReads++;
            answerChanges(request.response(), mStore.list(request.getParam("prefix")));
        } else if (path.equals("/v1/watch")) {
            mReads++;
            long until =
                    System.currentTimeMillis() + Long.parseLong(request.getParam("waitMillis"));
            mStore.watch(
                    request.getParam("prefix"),
                    Long.parseLong(request.getParam("after")),
                    until,
                    changes -> answerChanges(request.response(), changes));
        } else {
            lease(request);
        }
    }

    private void keyValue(HttpServerRequest request, Buffer body) {
        String key = request.getParam("key");
        HttpServerResponse response = request.response();
        switch (request.method().name()) {
            case "GET" -> {
                mReads++;
                MemoryStore.Entry entry = mStore.read(key);
                if (entry == null) {
                    response.setStatusCode(404).end();
                } else {
                    revision(response, entry.version()).end(entry.value());
                }
            }
            case "PUT" -> {
                mWrites++;
                long version =
                        mStore.write(
                                key,
                                Long.parseLong(request.getParam("expect")),
                                body.toString(),
                                request.getParam("lease", ""));
                if (version < 0) {
                    response.setStatusCode(409).end();
                } else {
                    revision(response, version).end();
                }
            }
            default -> {
                mWrites++;
                boolean deleted = mStore.delete(key, Long.parseLong(request.getParam("expect")));
                response.setStatusCode(deleted ? 200 : 409).end();
            }
        }
    }

    private void lease(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        mWrites++;
        if (request.path().equals("/v1/lease/renew")) {
            boolean renewed = mStore.renewLease(request.getParam("id"), System.currentTimeMillis());
            response.setStatusCode(renewed ? 200 : 404).end();
        } else if (request.method().name().equals("DELETE")) {
            mStore.endLease(request.getParam("id"));
            response.end();
        } else {
            long ttl = Long.parseLong(request.getParam("ttlMillis"));
            response.end(mStore.createLease(ttl, System.currentTimeMillis()));
        }
    }

    private void answerChanges(HttpServerResponse response, List<MemoryStore.Change> changes) {
        if (response.closed()) {
            return;
        }
        ArrayNode rows = Json.mapper().createArrayNode();
        for (MemoryStore.Change change : changes) {
            ObjectNode row = rows.addObject();
            row.put("key", change.key());
            row.put("version", change.version());
            row.put("value", change.value());
        }
        revision(response, mStore.revision()).end(rows.toString());
    }

    private static HttpServerResponse revision(HttpServerResponse response, long revision) {
        return response.putHeader("X-Store-Revision", Long.toString(revision));
    }

    private void other(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        switch (request.path()) {
            case "/v1/hosts" ->
                    response.end(Json.mapper().valueToTree(mHosts.listedHosts()).toString());
            case "/v1/workers/carry" -> {
                mHosts.assignServices(
                        request.getParam("worker"),
                        request.getParam("services"),
                        request.getParam("operation"));
                response.end();
            }
            case "/v1/workers/reboot" ->
                    response.end(
                            mHosts.reboot(
                                    request.getParam("worker"),
                                    request.getParam("operation"),
                                    System.currentTimeMillis()));
            case "/fault/store" -> setFault(request);
            case "/fault/host" -> {
                mHosts.setStatus(request.getParam("worker"), request.getParam("status"));
                response.end();
            }
            case "/fault/reboot" -> {
                mHosts.failReboots(request.getParam("worker"));
                response.end();
            }
            case "/stats" -> response.end(stats());
            default -> response.setStatusCode(404).end();
        }
    }

    private void setFault(HttpServerRequest request) {
        mFault = StoreFault.valueOf(request.getParam("mode"));
        mFaultMillis = Long.parseLong(request.getParam("millis", "0"));
        mFaultsLeft = Integer.parseInt(request.getParam("count", "0"));
        request.response().end();
    }

    private String stats() {
        ObjectNode stats = Json.mapper().createObjectNode();
        stats.put("storeReads", mReads);
        stats.put("storeWrites", mWrites);
        stats.put("reboots", mHosts.rebootCount());
        return stats.toString();
    }

    /** What is wrong with the store. */
    public enum StoreFault {
        /** Nothing. */
        NONE,
        /** It closes every connection without an answer. */
        DOWN,
        /** It waits before it serves a call. */
        SLOW,
        /** It carries writes out but closes the connection in place of an answer. */
        LOSE_ANSWERS
    }
}
