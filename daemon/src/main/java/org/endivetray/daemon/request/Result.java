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
 * @param answer the minion's whole answer, or null
 */
record Result(ResultCode code, String detail, MinionAnswer answer) {
    static Result answered(MinionAnswer answer) {
        return new Result(ResultCode.ANSWERED, "", answer);
    }

    static Result failed(ResultCode code, String detail) {
        return new Result(code, detail, null);
    }
}
