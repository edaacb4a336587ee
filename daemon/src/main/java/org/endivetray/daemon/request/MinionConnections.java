package org.endivetray.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.endivetray.MinionEndpoint;

/**
 * The connections to a minion, each used by one request at a time.
 *
 * <p>Invariants: a connection is either used by one request or idle; a connection whose request did
 * not end with a complete response is closed.
 *
 * <p>This class is not thread-safe; it is confined to the traffic event loop.
 */
final class MinionConnections {
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final HttpClientAgent mClient;
    private final HttpConnectOptions mOptions;
    private final Deque<Idle> mIdle = new ArrayDeque<>();

    MinionConnections(HttpClientAgent client, MinionEndpoint endpoint, long connectTimeoutMillis) {
        mClient = client;
        mOptions =
                new HttpConnectOptions()
                        .setHost(endpoint.host())
                        .setPort(endpoint.port())
                        .setConnectTimeout(connectTimeoutMillis);
    }

    /** Returns the most recently used idle connection, or opens a new one. */
    Future<HttpClientConnection> acquire() {
        Idle idle = mIdle.pollFirst();
        if (idle != null) {
            return Future.succeededFuture(idle.connection());
        }
        return mClient.connect(mOptions)
                .onSuccess(connection -> connection.closeHandler(closed -> forget(connection)));
    }

    /** Keeps a connection for reuse, or closes it if the maximum number is idle already. */
    void release(HttpClientConnection connection, int maxIdle) {
        if (mIdle.size() >= maxIdle) {
            connection.close();
            return;
        }
        mIdle.addFirst(new Idle(connection, System.nanoTime()));
    }

    /** Closes connections that have been idle too long or exceed the maximum, oldest first. */
    void trim(int maxIdle) {
        long now = System.nanoTime();
        Iterator<Idle> oldestFirst = mIdle.descendingIterator();
        while (oldestFirst.hasNext()) {
            Idle idle = oldestFirst.next();
            if (now - idle.sinceNanos() > MAX_IDLE_NANOS || mIdle.size() > maxIdle) {
                oldestFirst.remove();
                idle.connection().close();
            }
        }
    }

    private void forget(HttpClientConnection connection) {
        mIdle.removeIf(idle -> idle.connection() == connection);
    }

    /**
     * A connection that is not used by a request.
     *
     * @param connection the connection, not null
     * @param sinceNanos time of its last use on the monotonic clock, in nanoseconds
     */
    private record Idle(HttpClientConnection connection, long sinceNanos) {}
}
