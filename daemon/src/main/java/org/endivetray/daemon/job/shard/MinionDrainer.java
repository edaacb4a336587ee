package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.SchedulerExecutor;

/**
 * Empties minions before planned outages without making more tasks of a step unavailable than it
 * allows.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionDrainer {
    /** Time for which a request holds. Several times the interval at which it is repeated. */
    private static final long REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final SchedulerExecutor mCalls;
    private final ShardState mState;
    private final TaskLifecycle mFlow;

    MinionDrainer(SchedulerExecutor calls, ShardState state, TaskLifecycle flow) {
        mCalls = calls;
        mState = state;
        mFlow = flow;
    }

    /** Asks for a minion to be emptied and returns whether it certainly is. */
    boolean request(String id, boolean isUrgent) {
        MinionSession minion = mState.mMinions.get(id);
        if (minion == null) {
            return false;
        }
        minion.mDrainUntilNanos = mCalls.nanoTime() + REQUEST_NANOS;
        minion.mIsDrainUrgent = isUrgent;
        return minion.isKnownEmpty();
    }

    void tick(long nowNanos) {
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.isDrainRequested(nowNanos) || minion.info().draining()) {
                moveAway(minion, nowNanos);
            }
        }
    }

    private void moveAway(MinionSession minion, long nowNanos) {
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (task.mPhase != TaskPhase.RUNNING) {
                continue;
            }
            boolean lasts = task.mStep.mSpec.longRunning();
            if (lasts && mayStop(task, nowNanos)) {
                mFlow.stop(task, "drain");
            } else if (!lasts && minion.mIsDrainUrgent && minion.isDrainRequested(nowNanos)) {
                mFlow.stop(task, "drain");
            }
        }
    }

    private static boolean mayStop(TaskEntry task, long nowNanos) {
        int others = task.mStep.countUnavailable(nowNanos) - (task.isAvailable(nowNanos) ? 0 : 1);
        return others < task.mStep.mSpec.maxUnavailable();
    }
}
