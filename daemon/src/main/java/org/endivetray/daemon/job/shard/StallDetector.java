package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.DurationModel;

/**
 * Starts tasks elsewhere that take far longer than others of their kind, as on a minion that stands
 * still or is slow.
 *
 * <p>Invariants: a task is moved for this reason once at most, so that one that really takes long
 * is done in the end.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class StallDetector {
    /** Multiple of the learnt duration after which a task counts as stalled. */
    private static final int STALL_FACTOR = 4;

    /** Least time after which a task counts as stalled. Longer than a usual task. */
    private static final long MIN_STALL_MILLIS = 2_500;

    /** Time between two looks at all tasks. */
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ShardState mState;
    private final TaskLifecycle mFlow;
    private final DurationModel mDurations;
    private long mNextNanos;

    StallDetector(ShardState state, TaskLifecycle flow, DurationModel durations) {
        mState = state;
        mFlow = flow;
        mDurations = durations;
    }

    void tick(long nowNanos) {
        if (nowNanos - mNextNanos < 0) {
            return;
        }
        mNextNanos = nowNanos + LOOK_NANOS;
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.mIsResponding) {
                look(minion, nowNanos);
            }
        }
    }

    private void look(MinionSession minion, long nowNanos) {
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (task.mPhase == TaskPhase.RUNNING
                    && !task.mWasStalled
                    && isStalled(task, nowNanos)) {
                task.mWasStalled = true;
                mFlow.onStalled(task, nowNanos);
            }
        }
    }

    private boolean isStalled(TaskEntry task, long nowNanos) {
        StepEntry step = task.mStep;
        if (step.mSpec.longRunning() || step.mSpec.gang() || !mDurations.isLearnt(step.kind())) {
            return false;
        }
        long expected = mDurations.expectedMillis(step.kind(), step.mSpec.estimateMillis());
        long limit = Math.max(MIN_STALL_MILLIS, STALL_FACTOR * expected);
        return nowNanos - task.mAckedNanos >= TimeUnit.MILLISECONDS.toNanos(limit);
    }
}
