package org.endivetray.daemon.request;

import org.endivetray.ResultCode;

/**
 * The outcome of one attempt to send a request to a minion.
 *
 * <p>This enum is immutable and thread-safe.
 */
enum AttemptOutcome {
    /** The complete response was received and is held in memory. */
    ANSWERED(false, false, ResultCode.ANSWERED),
    /** The complete response was forwarded to the caller while it was received. */
    STREAMED(false, false, ResultCode.ANSWERED),
    /** The attempt failed after part of the response had been forwarded to the caller. */
    STREAM_CUT(false, true, ResultCode.ANSWER_DAMAGED),
    /** The minion refused the request without running it. */
    REFUSED(true, false, ResultCode.MINION_REFUSED),
    /** No byte was sent, because the routing decision was too old or the deadline had passed. */
    NOT_SENT(true, false, ResultCode.DEADLINE_PASSED),
    /** No connection to the minion could be opened. */
    NOT_CONNECTED(true, true, ResultCode.MINION_UNREACHABLE),
    /** The connection was lost after the sending of the request had begun. */
    LOST(false, true, ResultCode.ANSWER_LOST),
    /** No complete response was received in time, or the minion seems to have stalled. */
    LATE(false, true, ResultCode.ANSWER_LATE),
    /** The response was truncated, too large or carried another request's id. */
    DAMAGED(false, true, ResultCode.ANSWER_DAMAGED),
    /** The caller disconnected. */
    CANCELLED(false, false, ResultCode.ANSWER_LOST);

    private final boolean mNotRun;
    private final boolean mMinionFault;
    private final ResultCode mCode;

    AttemptOutcome(boolean notRun, boolean minionFault, ResultCode code) {
        mNotRun = notRun;
        mMinionFault = minionFault;
        mCode = code;
    }

    /** Returns whether it is certain that the request did not run. */
    boolean isNotRun() {
        return mNotRun;
    }

    /** Returns whether the failure is attributed to the minion. */
    boolean isMinionFault() {
        return mMinionFault;
    }

    /** Returns whether a complete response was received. */
    boolean isAnswered() {
        return mCode == ResultCode.ANSWERED;
    }

    /** Returns the result code that the caller gets if the request is not retried. */
    ResultCode code() {
        return mCode;
    }
}
