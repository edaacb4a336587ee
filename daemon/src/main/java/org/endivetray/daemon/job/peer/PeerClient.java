package org.endivetray.daemon.job.peer;

import io.vertx.core.Future;
import org.endivetray.daemon.job.ownership.OwnershipView.DaemonRecord;
import org.endivetray.wire.gen.Body;

/**
 * Sends messages to other daemons.
 *
 * <p>Implementations are thread-safe.
 */
public interface PeerClient {
    /**
     * Sends a message to another daemon and returns its reply.
     *
     * @param daemon the daemon, not null
     * @param body the message, not null
     * @param timeoutMillis time to wait for the reply, in milliseconds
     */
    Future<Body> send(DaemonRecord daemon, Body body, long timeoutMillis);
}
