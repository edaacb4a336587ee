package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * The caller's side of a request.
 *
 * <p>Implementations are thread-safe and do not block.
 */
interface ResultSink {
    /**
     * Ends the request; called once, and not after a stream has ended whole.
     *
     * @param result what the caller is told, not null
     */
    void end(RequestResult result);

    /**
     * Begins to pass on an answer that is too long to be held.
     *
     * @param response the paused answer, not null
     * @param head the bytes that have been read already, not null
     * @return where the rest is written
     */
    ResponseStream beginStream(HttpClientResponse response, Buffer head);
}
