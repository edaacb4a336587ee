package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.BestEffortShare;

/**
 * Throttles best-effort tasks while the tail latency of serving tasks on the same minion is near
 * its target.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class BestEffortThrottle {
    /**
     * Least time between two changes of a task's CPU share. This is twice the interval over which
     * minions measure load.
     */
    private static final long ADJUST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final ShardContext mContext;
    private final ShardState mState;

    BestEffortThrottle(ShardContext context, ShardState state) {
        mContext = context;
        mState = state;
    }

    /**
     * Adjusts the CPU shares of a minion's best-effort tasks to the tail latencies of its serving
     * tasks, which it has just listed.
     */
    void onListed(MinionSession minion, long nowNanos) {
        double worstRatio = 0;
        for (TaskEntry task : minion.tasks().values()) {
            if (task.mStep.mSpec.servesRequests() && task.mPhase == TaskPhase.RUNNING) {
                worstRatio =
                        Math.max(
                                worstRatio,
                                task.mLoad / (double) task.mStep.mSpec.tailTargetMillis());
            }
        }
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (task.mStep.mSpec.fills() && task.mPhase == TaskPhase.RUNNING) {
                adjust(task, worstRatio, nowNanos);
            }
        }
    }

    private void adjust(TaskEntry task, double worstRatio, long nowNanos) {
        int next = BestEffortShare.nextPercent(task.mSharePercent, worstRatio);
        boolean isDue = nowNanos - task.mShareChangedNanos >= ADJUST_INTERVAL_NANOS;
        if (next == task.mSharePercent || !isDue) {
            return;
        }
        task.mShareChangedNanos = nowNanos;
        mContext.executor()
                .onComplete(
                        mContext.minions()
                                .throttle(
                                        task.mMinion.info(),
                                        task.mName,
                                        task.mRun,
                                        next,
                                        task.mMinion.mFence.token()),
                        (reply, cause) -> {});
    }
}
