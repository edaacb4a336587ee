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
 * The connections to one minion, each used by one request at a time.
 *
 * <p>Invariants: a connection is used by one request or idle, never both; a connection whose
 * request did not end with a whole answer is closed.
 *
 * <p>This class is not thread-safe; the traffic event loop owns it.
 */
final class MinionConnections {
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final HttpClientAgent mClient;
    private final HttpConnectOptions mOptions;
    private final Deque<Idle> mIdle = new ArrayDeque<>();

    MinionConnections(HttpClientAgent client, MinionEndpoint endpoint, long connectMillis) {
        mClient = client;
        mOptions =
                new HttpConnectOptions()
                        .setHost(endpoint.host())
                        .setPort(endpoint.port())
                        .setConnectTimeout(connectMillis);
    }

    /** Returns an idle connection that was used lately, or a new one. */
    Future<HttpClientConnection> acquire() {
        Idle idle = mIdle.pollFirst();
        if (idle != null) {
            return Future.succeededFuture(idle.connection());
        }
        return mClient.connect(mOptions)
                .onSuccess(connection -> connection.closeHandler(closed -> forget(connection)));
    }

    /** Takes back a connection whose request ended with a whole answer. */
    void release(HttpClientConnection connection, int keepAtMost) {
        if (mIdle.size() >= keepAtMost) {
            connection.close();
            return;
        }
        mIdle.addFirst(new Idle(connection, System.nanoTime()));
    }

    /** Closes connections that have been idle for long, or all if nothing may be kept. */
    void trim(int keepAtMost) {
        long now = System.nanoTime();
        Iterator<Idle> oldestFirst = mIdle.descendingIterator();
        while (oldestFirst.hasNext()) {
            Idle idle = oldestFirst.next();
            if (now - idle.sinceNanos() > MAX_IDLE_NANOS || mIdle.size() > keepAtMost) {
                oldestFirst.remove();
                idle.connection().close();
            }
        }
    }

    private void forget(HttpClientConnection connection) {
        mIdle.removeIf(idle -> idle.connection() == connection);
    }

    /**
     * A connection that no request uses.
     *
     * @param connection the connection, not null
     * @param sinceNanos time of its last use on the monotonic clock, in nanoseconds
     */
    private record Idle(HttpClientConnection connection, long sinceNanos) {}
}
