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
 * Tells a caller the result of its request over HTTP.
 *
 * <p>Every response names the outcome and the numbered code in headers; a result other than an
 * answer has a JSON body that says the same.
 *
 * <p>Invariants: the response is ended once; an answer that broke off closes the connection.
 *
 * <p>This class is thread-safe; the response belongs to the traffic event loop.
 */
final class CallerExchange implements ResultSink {
    /** Header that names the outcome. */
    static final String OUTCOME_HEADER = "X-Endivetray-Outcome";

    /** Header that names the numbered code. */
    static final String CODE_HEADER = "X-Endivetray-Code";

    private final Context mContext;
    private final HttpServerRequest mRequest;
    private final boolean mClose;
    private final Runnable mOnClosed;
    private Runnable mOnCallerGone = () -> {};
    private boolean mClosed;

    /**
     * Constructs an exchange.
     *
     * @param context the traffic event loop, not null
     * @param request the caller's request, not null
     * @param close whether the connection ends with the response
     * @param onClosed told once, when the response has ended or the caller has gone, not null
     */
    CallerExchange(Context context, HttpServerRequest request, boolean close, Runnable onClosed) {
        mContext = context;
        mRequest = request;
        mClose = close;
        mOnClosed = onClosed;
        request.response().endHandler(ignored -> close());
        request.response().closeHandler(ignored -> close());
    }

    /** Sets what is done when the caller goes away before the response has ended. */
    void onCallerGone(Runnable action) {
        mOnCallerGone = action;
        if (mClosed && !mRequest.response().ended()) {
            action.run();
        }
    }

    private void close() {
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
        putOutcome(response, result.code());
        MinionResponse answer = result.response();
        if (answer != null) {
            response.setStatusCode(answer.status());
            answer.headers().forEach(response::putHeader);
            response.end(answer.body());
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

    private void putOutcome(HttpServerResponse response, ResultCode code) {
        response.putHeader(OUTCOME_HEADER, code.outcome().label());
        response.putHeader(CODE_HEADER, Integer.toString(code.number()));
        if (mClose) {
            response.putHeader("Connection", "close");
        }
    }

    @Override
    public ResponseStream beginStream(HttpClientResponse answer, Buffer head) {
        HttpServerResponse response = mRequest.response();
        putOutcome(response, ResultCode.ANSWERED);
        response.setStatusCode(answer.statusCode());
        String type = answer.getHeader("content-type");
        if (type != null) {
            response.putHeader("content-type", type);
        }
        String length = answer.getHeader("content-length");
        if (length != null) {
            response.putHeader("content-length", length);
        } else {
            response.setChunked(true);
        }
        response.write(head);
        return new Stream(response);
    }

    /** The caller's side of a streamed answer. */
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
