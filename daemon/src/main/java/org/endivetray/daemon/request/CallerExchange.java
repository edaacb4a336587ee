package org.endivetray.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.streams.WriteStream;
import java.nio.charset.StandardCharsets;
import org.endivetray.Json;
import org.endivetray.ResultCode;

/**
 * Sends the result of a request to its caller over HTTP.
 *
 * <p>Every response carries the outcome and the number of the result code in headers. A result
 * without a minion's response has a JSON body that repeats both and adds a message.
 *
 * <p>Invariants: the response is ended at most once; aborting a streamed response closes the
 * connection.
 *
 * <p>This class is thread-safe; the response is confined to the traffic event loop.
 */
final class CallerExchange implements ResultSink {
    /** Header that carries the outcome. */
    static final String OUTCOME_HEADER = "X-Endivetray-Outcome";

    /** Header that carries the number of the result code. */
    static final String CODE_HEADER = "X-Endivetray-Code";

    private final Context mContext;
    private final HttpServerRequest mRequest;
    private final boolean mCloseConnection;
    private final Runnable mOnClosed;
    private Runnable mOnCallerGone = () -> {};
    private boolean mClosed;

    /**
     * Constructs an exchange.
     *
     * @param context the traffic event loop, not null
     * @param request the caller's request, not null
     * @param closeConnection whether the connection is closed after the response
     * @param onClosed called once, when the response has ended or its connection was closed, not
     *     null
     */
    CallerExchange(
            Context context,
            HttpServerRequest request,
            boolean closeConnection,
            Runnable onClosed) {
        mContext = context;
        mRequest = request;
        mCloseConnection = closeConnection;
        mOnClosed = onClosed;
        request.response().endHandler(ignored -> onResponseClosed());
        request.response().closeHandler(ignored -> onResponseClosed());
    }

    /** Sets the action that is run when the caller disconnects before the response has ended. */
    void setCallerGoneAction(Runnable action) {
        mOnCallerGone = action;
        if (mClosed && !mRequest.response().ended()) {
            action.run();
        }
    }

    private void onResponseClosed() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mOnClosed.run();
        if (!mRequest.response().ended()) {
            mOnCallerGone.run();
        }
    }

    @Override
    public void end(RequestResult result) {
        mContext.runOnContext(ignored -> endNow(result));
    }

    private void endNow(RequestResult result) {
        HttpServerResponse response = mRequest.response();
        if (response.ended() || response.closed()) {
            return;
        }
        putResultHeaders(response, result.code());
        MinionResponse minionResponse = result.response();
        if (minionResponse != null) {
            response.setStatusCode(minionResponse.status());
            minionResponse.headers().forEach(response::putHeader);
            response.end(minionResponse.body());
            return;
        }
        response.setStatusCode(result.code().httpStatus());
        response.putHeader("content-type", "application/json");
        response.end(Buffer.buffer(failureBody(result)));
    }

    private static byte[] failureBody(RequestResult result) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("code", result.code().number());
        body.put("name", result.code().name());
        body.put("outcome", result.code().outcome().label());
        body.put("message", result.code().meaning() + " (" + result.detail() + ")");
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void putResultHeaders(HttpServerResponse response, ResultCode code) {
        response.putHeader(OUTCOME_HEADER, code.outcome().label());
        response.putHeader(CODE_HEADER, Integer.toString(code.number()));
        if (mCloseConnection) {
            response.putHeader("Connection", "close");
        }
    }

    @Override
    public ResponseStream beginStream(HttpClientResponse minionResponse, Buffer bufferedBody) {
        HttpServerResponse response = mRequest.response();
        putResultHeaders(response, ResultCode.ANSWERED);
        response.setStatusCode(minionResponse.statusCode());
        String type = minionResponse.getHeader("content-type");
        if (type != null) {
            response.putHeader("content-type", type);
        }
        String length = minionResponse.getHeader("content-length");
        if (length != null) {
            response.putHeader("content-length", length);
        } else {
            response.setChunked(true);
        }
        response.write(bufferedBody);
        return new Stream(response);
    }

    /** The caller's side of a streamed response. */
    private final class Stream implements ResponseStream {
        private final HttpServerResponse mResponse;

        Stream(HttpServerResponse response) {
            mResponse = response;
        }

        @Override
        public WriteStream<Buffer> out() {
            return mResponse;
        }

        @Override
        public void complete() {
            mResponse.end();
        }

        @Override
        public void abort() {
            mRequest.connection().close();
        }
    }
}
