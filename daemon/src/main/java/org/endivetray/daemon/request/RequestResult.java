package org.endivetray.daemon.request;

import org.endivetray.ResultCode;

/**
 * The end of a request as the caller is told of it.
 *
 * <p>Invariants: an answer is present exactly for {@link ResultCode#ANSWERED}, unless the answer
 * was streamed.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param code the numbered code, not null
 * @param detail one phrase for people, not null
 * @param response the minion's whole answer, or null
 */
record RequestResult(ResultCode code, String detail, MinionResponse response) {
    static RequestResult answered(MinionResponse answer) {
        return new RequestResult(ResultCode.ANSWERED, "", answer);
    }

    static RequestResult failed(ResultCode code, String detail) {
        return new RequestResult(code, detail, null);
    }
}
