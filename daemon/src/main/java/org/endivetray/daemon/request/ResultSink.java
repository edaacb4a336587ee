package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Receives the result of a request on behalf of its caller.
 *
 * <p>Implementations are thread-safe and do not block.
 */
interface ResultSink {
    /**
     * Ends the request; called at most once, and not after a stream was begun.
     *
     * @param result the result, not null
     */
    void end(RequestResult result);

    /**
     * Begins to forward a response that is too long to be buffered.
     *
     * @param response the minion's response, not null
     * @param bufferedBody the part of the body that was received so far, not null
     * @return the stream to which the rest of the body is written
     */
    ResponseStream beginStream(HttpClientResponse response, Buffer bufferedBody);
}
