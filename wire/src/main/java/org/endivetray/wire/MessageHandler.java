package org.endivetray.wire;

import io.vertx.core.Future;
import org.endivetray.wire.gen.Body;

/**
 * Answers messages from other daemons.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface MessageHandler {
    /**
     * Returns the answer to a message.
     *
     * @param sender the sending daemon's name, not null
     * @param incarnation the sender's incarnation number
     * @param body the message, not null
     */
    Future<Body> handle(String sender, long incarnation, Body body);
}
