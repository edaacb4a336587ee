package org.endivetray.daemon.job.shard;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.MinionPace;
import org.endivetray.policy.job.MinionPace.Runs;

/**
 * Stops tasks that take far longer than others of their kind, as on a stalled or slow minion, so
 * that they can be started again on another minion. How long that is depends on the pace of the
 * minion.
 *
 * <p>Invariants: a task is stopped at most once for this reason, so that a task that needs more
 * time is completed in the end.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class StallDetector {
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
        Map<MinionSession, Runs> runs = new LinkedHashMap<>();
        Runs all = Runs.NONE;
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.mIsResponding) {
                Runs own = runsOn(minion, nowNanos);
                runs.put(minion, own);
                all = all.and(own);
            }
        }
        for (Map.Entry<MinionSession, Runs> each : runs.entrySet()) {
            scan(each.getKey(), MinionPace.of(each.getValue(), all), nowNanos);
        }
    }

    private Runs runsOn(MinionSession minion, long nowNanos) {
        Runs runs = Runs.NONE;
        for (TaskEntry task : minion.tasks().values()) {
            if (isComparable(task)) {
                runs = runs.with(nowNanos - task.mAckedNanos, expectedMillis(task));
            }
        }
        return runs;
    }

    /** Returns whether a task is running and its expected duration is known. */
    private boolean isComparable(TaskEntry task) {
        StepEntry step = task.mStep;
        return task.mPhase == TaskPhase.RUNNING
                && !step.mSpec.longRunning()
                && !step.mSpec.gang()
                && mDurations.isLearnt(step.kind());
    }

    private long expectedMillis(TaskEntry task) {
        StepEntry step = task.mStep;
        return mDurations.expectedMillis(step.kind(), step.mSpec.estimateMillis());
    }

    private void scan(MinionSession minion, MinionPace pace, long nowNanos) {
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (!task.mWasStalled
                    && isComparable(task)
                    && nowNanos - task.mAckedNanos >= limitNanos(task, pace)) {
                task.mWasStalled = true;
                mLifecycle.onStalled(task, nowNanos);
            }
        }
    }

    private long limitNanos(TaskEntry task, MinionPace pace) {
        long longest = mDurations.longestNearMillis(task.mStep.kind());
        return TimeUnit.MILLISECONDS.toNanos(pace.stallMillis(expectedMillis(task), longest));
    }
}
