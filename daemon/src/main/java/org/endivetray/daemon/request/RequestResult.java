package org.endivetray.daemon.request;

import org.endivetray.ResultCode;

/**
 * The result of a request as reported to its caller.
 *
 * <p>Invariants: a response is present if and only if the code is {@link ResultCode#ANSWERED} and
 * the response was not streamed.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param code the result code, not null
 * @param detail a short explanation for people, may be empty, not null
 * @param response the minion's complete response, or null
 */
record RequestResult(ResultCode code, String detail, MinionResponse response) {
    static RequestResult answered(MinionResponse response) {
        return new RequestResult(ResultCode.ANSWERED, "", response);
    }

    static RequestResult failed(ResultCode code, String detail) {
        return new RequestResult(code, detail, null);
    }
}
