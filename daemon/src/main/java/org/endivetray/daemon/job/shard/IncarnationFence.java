package org.endivetray.daemon.job.shard;

import org.endivetray.platform.MinionOrders.OrderOutcome;

/**
 * The fencing tokens of the orders to one minion, which bind each order to the incarnation that it
 * was sent to.
 *
 * <p>A minion that starts again under its id remembers neither the highest token nor the runs that
 * were stopped, and may still receive orders to its earlier incarnation. It refuses them once it
 * has been told a higher token than theirs.
 *
 * <p>Invariants: tokens never fall; each is a revision at which the store confirmed a change on
 * condition that the shard still had this owner, so it is lower than the token of any later owner.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class IncarnationFence {
    private long mToken;

    /** Highest token of a start to the current incarnation or an earlier one. */
    private long mStartToken;

    /** Highest token of a start that was sent before the current incarnation was known. */
    private long mEarlierStartToken;

    /** Returns the token of the orders to the minion. */
    long token() {
        return mToken;
    }

    /** Raises the token to a revision unless it is higher already. */
    void raise(long revision) {
        mToken = Math.max(mToken, revision);
    }

    /** Records that a start is sent under the current token, and returns that token. */
    long onStart() {
        mStartToken = mToken;
        return mToken;
    }

    /** Returns the highest token of all starts that were sent. */
    long startToken() {
        return mStartToken;
    }

    /**
     * Records that starts up to a token may have been sent to earlier incarnations.
     *
     * @param startToken the highest token of these starts, 0 if there were none
     */
    void onNewIncarnation(long startToken) {
        mStartToken = Math.max(mStartToken, startToken);
        mEarlierStartToken = mStartToken;
    }

    /** Returns whether the token is higher than that of every start to an earlier incarnation. */
    boolean isRaised() {
        return mToken > mEarlierStartToken;
    }

    /** Returns whether a revision is high enough for the token. */
    boolean isRaisedBy(long revision) {
        return revision > mEarlierStartToken;
    }

    /**
     * Returns whether the outcome of an order shows that the shard has a later owner. An order is
     * also fenced if one with a higher token of this owner has overtaken it.
     *
     * @param outcome the outcome, not null
     * @param token the token of the order
     */
    boolean isLost(OrderOutcome outcome, long token) {
        return outcome == OrderOutcome.FENCED && token >= mToken;
    }
}
