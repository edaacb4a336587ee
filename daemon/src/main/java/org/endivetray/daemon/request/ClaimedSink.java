package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.streams.WriteStream;

/**
 * Settles the claim of a request when the request ends, then tells the caller.
 *
 * <p>Invariants: the claim is settled once.
 *
 * <p>This class is thread-safe.
 */
final class ClaimedSink implements ResultSink {
    private final Claims mClaims;
    private final Claims.Claim mClaim;
    private final ResultSink mCaller;

    ClaimedSink(Claims claims, Claims.Claim claim, ResultSink caller) {
        mClaims = claims;
        mClaim = claim;
        mCaller = caller;
    }

    @Override
    public void end(Result result) {
        mClaims.settle(mClaim, result);
        mCaller.end(result);
    }

    @Override
    public AnswerStream beginStream(HttpClientResponse response, Buffer head) {
        AnswerStream stream = mCaller.beginStream(response, head);
        return new AnswerStream() {
            @Override
            public WriteStream<Buffer> out() {
                return stream.out();
            }

            @Override
            public void endWhole() {
                mClaims.settle(mClaim, Result.answered(null));
                stream.endWhole();
            }

            @Override
            public void breakOff() {
                mClaims.settle(mClaim, Result.answered(null));
                stream.breakOff();
            }
        };
    }
}
