package org.endivetray.daemon.job.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Keeps the minion of a worker drained while an order for the worker is prepared and may be carried
 * out, and knows which incarnation of the minion was reported as empty.
 *
 * <p>Invariants: the minion counts as empty only while its pool's owner certainly starts nothing on
 * it, so that an order ends no task; only the incarnation that was reported as empty is ever
 * reported as terminated.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionDrain {
    /** Time between two requests. */
    static final long INTERVAL_MILLIS = 250;

    /**
     * Time from a request for which the minion certainly stays drained, less than the time after
     * which the owner lets the request expire.
     */
    private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final FleetContext mContext;
    private final String mPool;
    private final String mMinion;
    private boolean mIsEmpty;
    private long mEmptyNanos;
    private long mIncarnationMillis;

    /**
     * Constructs a drain that has not been requested.
     *
     * @param context the services to use, not null
     * @param pool the minion's pool, not null
     * @param minion id of the minion, empty if there is none
     */
    MinionDrain(FleetContext context, String pool, String minion) {
        mContext = context;
        mPool = pool;
        mMinion = minion;
    }

    /** Returns the id of the minion. */
    String minion() {
        return mMinion;
    }

    /** Returns whether this is the drain of a minion in a pool. */
    boolean isOf(String pool, String minion) {
        return mPool.equals(pool) && mMinion.equals(minion);
    }

    /** Returns whether nothing runs on the minion and nothing will be started. */
    boolean isEmpty() {
        long now = mContext.executor().nanoTime();
        return isWithoutJobs() || mIsEmpty && now - mEmptyNanos < VALID_NANOS;
    }

    private boolean isWithoutJobs() {
        return !mContext.hasJobs().test(mPool);
    }

    /**
     * Requests that the minion be drained or remain so.
     *
     * @param isUrgent whether tasks that are not long-running are stopped too instead of left to
     *     end
     * @param onReply runs once the owner has replied or has not done so in time, not null
     */
    void request(boolean isUrgent, Runnable onReply) {
        if (isWithoutJobs()) {
            onReply.run();
            return;
        }
        long sentNanos = mContext.executor().nanoTime();
        mContext.executor()
                .onComplete(
                        mContext.owners().drain(mPool, mMinion, isUrgent),
                        (reply, cause) -> {
                            mIsEmpty = cause == null && reply.isIsEmpty();
                            if (mIsEmpty) {
                                mEmptyNanos = sentNanos;
                                mIncarnationMillis = reply.getIncarnationMillis();
                            }
                            onReply.run();
                        });
    }

    /**
     * Notifies the owner of the pool that the incarnation that was last reported as empty has
     * terminated. The caller must be certain of that.
     */
    void notifyTerminated() {
        if (mIncarnationMillis != 0) {
            mContext.owners().notifyMinionTerminated(mPool, mMinion, mIncarnationMillis);
        }
    }
}
