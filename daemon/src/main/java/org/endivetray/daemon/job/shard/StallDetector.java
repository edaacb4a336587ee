package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.DurationModel;

/**
 * Stops tasks that take far longer than others of their kind, as on a stalled or slow minion, so
 * that they can be started again on another minion.
 *
 * <p>Invariants: a task is stopped at most once for this reason, so that a task that needs more
 * time is completed in the end.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class StallDetector {
    /** Multiple of the learnt duration after which a task counts as stalled. */
    private static final int STALL_FACTOR = 4;

    /**
     * Shortest time after which a task counts as stalled. This is longer than a usual task takes.
     */
    private static final long MIN_STALL_MILLIS = 2_500;

    /** Time between two scans of all tasks. */
    private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ShardState mState;
    private final TaskLifecycle mLifecycle;
    private final DurationModel mDurations;
    private long mNextScanNanos;

    StallDetector(ShardState state, TaskLifecycle lifecycle, DurationModel durations) {
        mState = state;
        mLifecycle = lifecycle;
        mDurations = durations;
    }

    /** Stops the tasks that have stalled, if a scan is due. */
    void tick(long nowNanos) {
        if (nowNanos - mNextScanNanos < 0) {
            return;
        }
        mNextScanNanos = nowNanos + SCAN_INTERVAL_NANOS;
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.mIsResponding) {
                scan(minion, nowNanos);
            }
        }
    }

    private void scan(MinionSession minion, long nowNanos) {
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (task.mPhase == TaskPhase.RUNNING
                    && !task.mWasStalled
                    && isStalled(task, nowNanos)) {
                task.mWasStalled = true;
                mLifecycle.onStalled(task, nowNanos);
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
