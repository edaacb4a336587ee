package org.endivetray.wire;

import io.vertx.core.Future;
import org.endivetray.wire.gen.Body;

/**
 * Handles messages from other daemons.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface MessageHandler {
    /**
     * Handles a message and returns the reply to it.
     *
     * <p>If the returned future fails, the sender receives the message of the failure.
     *
     * @param sender the name of the sending daemon, not null
     * @param incarnation the incarnation number of the sender
     * @param body the message, not null
     */
    Future<Body> handle(String sender, long incarnation, Body body);
}
