package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.WriteStream;

/**
 * The caller's side of a response that is forwarded while it is being received.
 *
 * <p>Implementations are not thread-safe; they are confined to the traffic event loop.
 */
interface ResponseStream {
    /** Returns the stream to which the response body is written; it applies back pressure. */
    WriteStream<Buffer> out();

    /** Ends the response after its last byte was written. */
    void complete();

    /** Aborts the response so that the caller cannot mistake it for a complete one. */
    void abort();
}
