package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.BestEffortShare;

/**
 * Slows down tasks that fill while tasks that serve on the same minion are near their target.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class BestEffortThrottle {
    /** Time between two changes of a task's share. Two of the minions' measuring times. */
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final ShardContext mContext;
    private final ShardState mState;

    BestEffortThrottle(ShardContext context, ShardState state) {
        mContext = context;
        mState = state;
    }

    /** Compares what a minion has just listed with the targets. */
    void onListed(MinionSession minion, long nowNanos) {
        double worst = 0;
        for (TaskEntry task : minion.tasks().values()) {
            if (task.mStep.mSpec.servesRequests() && task.mPhase == TaskPhase.RUNNING) {
                worst = Math.max(worst, task.mLoad / (double) task.mStep.mSpec.tailTargetMillis());
            }
        }
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (task.mStep.mSpec.fills() && task.mPhase == TaskPhase.RUNNING) {
                adjust(task, worst, nowNanos);
            }
        }
    }

    private void adjust(TaskEntry task, double worst, long nowNanos) {
        int next = BestEffortShare.nextPercent(task.mSharePercent, worst);
        boolean isDue = nowNanos - task.mShareChangedNanos >= STEP_NANOS;
        if (next == task.mSharePercent || !isDue) {
            return;
        }
        task.mShareChangedNanos = nowNanos;
        mContext.calls()
                .onComplete(
                        mContext.minions()
                                .throttle(
                                        task.mMinion.info(),
                                        task.mName,
                                        task.mRun,
                                        next,
                                        mState.mToken),
                        (reply, cause) -> {});
    }
}
