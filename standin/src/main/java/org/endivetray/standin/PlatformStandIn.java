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
 * A stand-in for the platform that serves store, host list and worker API on one port, with faults.
 *
 * <p>This class is thread-safe; its state is confined to one event loop.
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
    private long mFaultDelayMillis;
    private int mFaultsLeft;
    private long mStoreReads;
    private long mStoreWrites;

    /**
     * Constructs a platform that has not been started.
     *
     * @param hosts entries of the host list, not null
     * @param minions finds the endpoint of a minion, not null
     * @param lagMillis delay of the host list, in milliseconds
     * @param rebootMillis duration of a reboot, in milliseconds
     */
    public PlatformStandIn(
            List<ListedHost> hosts,
            HostTable.MinionAddresses minions,
            long lagMillis,
            long rebootMillis) {
        mHosts = new HostTable(hosts, minions, lagMillis, rebootMillis);
    }

    /** Starts to listen on the port, or on a free one if it is 0, and returns the port. */
    public Future<Integer> start(int port) {
        mVertx.setPeriodic(
                TICK_MILLIS,
                timer -> {
                    mStore.tick(System.currentTimeMillis());
                    mHosts.tick(System.currentTimeMillis());
                });
        return mServer.requestHandler(this::handleRequest)
                .listen(port, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /** Closes the port and all connections. */
    public Future<Void> stop() {
        return mVertx.close();
    }

    private void handleRequest(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            boolean isStoreRequest =
                                    request.path().startsWith("/v1/kv")
                                            || request.path().startsWith("/v1/range")
                                            || request.path().startsWith("/v1/lease")
                                            || request.path().startsWith("/v1/watch");
                            if (isStoreRequest) {
                                handleStoreRequest(request, body);
                            } else {
                                handleOtherRequest(request);
                            }
                        });
    }

    private void handleStoreRequest(HttpServerRequest request, Buffer body) {
        switch (mFault) {
            case DOWN -> request.connection().close();
            case SLOW ->
                    mVertx.setTimer(mFaultDelayMillis, timer -> serveStoreRequest(request, body));
            case LOSE_ANSWERS -> loseWriteResponse(request, body);
            default -> serveStoreRequest(request, body);
        }
    }

    private void loseWriteResponse(HttpServerRequest request, Buffer body) {
        boolean isWrite = request.method().name().equals("PUT");
        if (!isWrite || mFaultsLeft <= 0) {
            serveStoreRequest(request, body);
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

    private void serveStoreRequest(HttpServerRequest request, Buffer body) {
        String path = request.path();
        if (path.equals("/v1/kv")) {
            serveKeyValue(request, body);
        } else if (path.equals("/v1/range")) {
            mStoreReads++;
            sendChanges(request.response(), mStore.list(request.getParam("prefix")));
        } else if (path.equals("/v1/watch")) {
            mStoreReads++;
            long deadlineMillis =
                    System.currentTimeMillis() + Long.parseLong(request.getParam("waitMillis"));
            mStore.watch(
                    request.getParam("prefix"),
                    Long.parseLong(request.getParam("after")),
                    deadlineMillis,
                    changes -> sendChanges(request.response(), changes));
        } else {
            serveLease(request);
        }
    }

    private void serveKeyValue(HttpServerRequest request, Buffer body) {
        String key = request.getParam("key");
        HttpServerResponse response = request.response();
        switch (request.method().name()) {
            case "GET" -> {
                mStoreReads++;
                MemoryStore.Entry entry = mStore.read(key);
                if (entry == null) {
                    response.setStatusCode(404).end();
                } else {
                    withRevision(response, entry.version()).end(entry.value());
                }
            }
            case "PUT" -> {
                mStoreWrites++;
                long version =
                        mStore.write(
                                key,
                                Long.parseLong(request.getParam("expect")),
                                body.toString(),
                                request.getParam("lease", ""));
                if (version < 0) {
                    response.setStatusCode(409).end();
                } else {
                    withRevision(response, version).end();
                }
            }
            default -> {
                mStoreWrites++;
                boolean deleted = mStore.delete(key, Long.parseLong(request.getParam("expect")));
                response.setStatusCode(deleted ? 200 : 409).end();
            }
        }
    }

    private void serveLease(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        mStoreWrites++;
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

    private void sendChanges(HttpServerResponse response, List<MemoryStore.Change> changes) {
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
        withRevision(response, mStore.revision()).end(rows.toString());
    }

    private static HttpServerResponse withRevision(HttpServerResponse response, long revision) {
        return response.putHeader("X-Store-Revision", Long.toString(revision));
    }

    private void handleOtherRequest(HttpServerRequest request) {
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
        mFaultDelayMillis = Long.parseLong(request.getParam("millis", "0"));
        mFaultsLeft = Integer.parseInt(request.getParam("count", "0"));
        request.response().end();
    }

    private String stats() {
        ObjectNode stats = Json.mapper().createObjectNode();
        stats.put("storeReads", mStoreReads);
        stats.put("storeWrites", mStoreWrites);
        stats.put("reboots", mHosts.rebootCount());
        return stats.toString();
    }

    /** A fault of the store. */
    public enum StoreFault {
        /** No fault. */
        NONE,
        /** Closes every connection without a response. */
        DOWN,
        /** Delays every call. */
        SLOW,
        /** Executes a number of writes but closes the connection instead of responding. */
        LOSE_ANSWERS
    }
}
