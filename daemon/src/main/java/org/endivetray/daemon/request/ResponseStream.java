package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.WriteStream;

/**
 * The caller's side of an answer that is passed on while it arrives.
 *
 * <p>Implementations belong to the traffic event loop.
 */
interface ResponseStream {
    /** Returns where the answer's bytes are written, with back pressure. */
    WriteStream<Buffer> out();

    /** Ends a whole answer. */
    void complete();

    /** Breaks the answer off so that the caller cannot take it for whole. */
    void abort();
}
