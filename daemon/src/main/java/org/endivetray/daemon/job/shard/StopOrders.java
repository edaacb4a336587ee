package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import org.endivetray.platform.MinionOrders.OrderOutcome;
import org.endivetray.platform.MinionOrders.OrderReply;

/**
 * Sends the orders to stop runs, and records which of them minions have confirmed.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class StopOrders {
    private static final Logger LOGGER = System.getLogger(StopOrders.class.getName());

    /** Delay before a stop that was not answered is sent again. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ShardContext mContext;
    private final Runnable mOnFenced;

    StopOrders(ShardContext context, Runnable onFenced) {
        mContext = context;
        mOnFenced = onFenced;
    }

    /** Orders the stop of the current run of a task, which must have a minion. */
    void send(TaskEntry task) {
        MinionSession minion = task.mMinion;
        int run = task.mRun;
        long token = minion.mFence.token();
        task.mStopSentNanos = mContext.executor().nanoTime();
        mContext.executor()
                .onComplete(
                        mContext.minions().stop(minion.info(), task.mName, run, token),
                        (reply, cause) -> onReply(task, minion, run, token, reply));
    }

    private void onReply(
            TaskEntry task, MinionSession minion, int run, long token, OrderReply reply) {
        if (minion.mFence.isLost(reply.outcome(), token)) {
            mOnFenced.run();
            return;
        }
        if (task.mMinion == minion && task.mRun == run && reply.outcome() == OrderOutcome.DONE) {
            task.mStopAcked = true;
            task.mAckedNanos = mContext.executor().nanoTime();
        }
    }

    /** Sends an unanswered stop again, once the delay has passed. */
    void retry(TaskEntry task, long nowNanos) {
        boolean isDue = nowNanos - task.mStopSentNanos >= RETRY_NANOS;
        if (!task.mStopAcked && isDue && task.mMinion.mIsResponding) {
            send(task);
        }
    }

    /** Orders the stop of a run that this owner does not track or no longer needs. */
    void sendForOrphan(MinionSession minion, String task, int run) {
        LOGGER.log(
                Level.INFO,
                "place: stop orphan task={0} run={1} minion={2}",
                task,
                Integer.toString(run),
                minion.id());
        mContext.executor()
                .onComplete(
                        mContext.minions().stop(minion.info(), task, run, minion.mFence.token()),
                        (reply, cause) -> {});
    }
}
