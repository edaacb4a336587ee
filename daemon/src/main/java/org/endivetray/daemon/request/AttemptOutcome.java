package org.endivetray.daemon.request;

import org.endivetray.ResultCode;

/**
 * How sending a request to one minion ended.
 *
 * <p>This enum is immutable and thread-safe.
 */
enum AttemptOutcome {
    /** The whole answer is in memory. */
    ANSWERED(false, false, ResultCode.ANSWERED),
    /** The whole answer was passed on while it arrived. */
    STREAMED(false, false, ResultCode.ANSWERED),
    /** The answer broke off after its beginning had been passed on. */
    STREAM_CUT(false, true, ResultCode.ANSWER_DAMAGED),
    /** The minion refused the request without running it. */
    REFUSED(true, false, ResultCode.MINION_REFUSED),
    /** No byte was sent, since too much time had passed since the decision. */
    NOT_SENT(true, false, ResultCode.DEADLINE_PASSED),
    /** No connection could be opened. */
    NOT_CONNECTED(true, true, ResultCode.MINION_UNREACHABLE),
    /** The connection was lost after the request was sent. */
    LOST(false, true, ResultCode.ANSWER_LOST),
    /** No whole answer arrived in time. */
    LATE(false, true, ResultCode.ANSWER_LATE),
    /** The answer was truncated, too large or another request's. */
    DAMAGED(false, true, ResultCode.ANSWER_DAMAGED),
    /** The caller went away. */
    CANCELLED(false, false, ResultCode.ANSWER_LOST);

    private final boolean mNotRun;
    private final boolean mMinionFault;
    private final ResultCode mCode;

    AttemptOutcome(boolean notRun, boolean minionFault, ResultCode code) {
        mNotRun = notRun;
        mMinionFault = minionFault;
        mCode = code;
    }

    /** Returns whether the request provably did not run. */
    boolean isNotRun() {
        return mNotRun;
    }

    /** Returns whether the minion is to blame. */
    boolean isMinionFault() {
        return mMinionFault;
    }

    /** Returns whether the caller has been answered. */
    boolean isAnswered() {
        return mCode == ResultCode.ANSWERED;
    }

    /** Returns the code that the caller is told if the request is not sent again. */
    ResultCode code() {
        return mCode;
    }
}
