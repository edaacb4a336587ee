package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.streams.WriteStream;

/**
 * Settles the claim of a request when the request ends, then passes the result to the caller.
 *
 * <p>Invariants: the claim is settled once.
 *
 * <p>This class is thread-safe.
 */
final class ClaimSettlingSink implements ResultSink {
    private final IdempotencyClaims mClaims;
    private final IdempotencyClaims.Claim mClaim;
    private final ResultSink mCaller;

    ClaimSettlingSink(IdempotencyClaims claims, IdempotencyClaims.Claim claim, ResultSink caller) {
        mClaims = claims;
        mClaim = claim;
        mCaller = caller;
    }

    @Override
    public void end(RequestResult result) {
        mClaims.settle(mClaim, result);
        mCaller.end(result);
    }

    @Override
    public ResponseStream beginStream(HttpClientResponse response, Buffer bufferedBody) {
        ResponseStream stream = mCaller.beginStream(response, bufferedBody);
        return new ResponseStream() {
            @Override
            public WriteStream<Buffer> out() {
                return stream.out();
            }

            @Override
            public void complete() {
                mClaims.settle(mClaim, RequestResult.answered(null));
                stream.complete();
            }

            @Override
            public void abort() {
                mClaims.settle(mClaim, RequestResult.answered(null));
                stream.abort();
            }
        };
    }
}
