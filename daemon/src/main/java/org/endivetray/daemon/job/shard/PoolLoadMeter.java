package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.List;
import org.endivetray.policy.job.PoolLoad;

/**
 * Measures the load of a shard's pool, by which workers are moved between pools.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PoolLoadMeter {
    private final ShardContext mContext;
    private final ShardState mState;

    PoolLoadMeter(ShardContext context, ShardState state) {
        mContext = context;
        mState = state;
    }

    /** Returns the load of the pool. */
    PoolLoad load(long nowNanos) {
        long nowMillis = mContext.executor().currentTimeMillis();
        long waiting = 0;
        int wantedMinions = 0;
        for (JobEntry job : mState.mActiveJobs.values()) {
            for (OccurrenceEntry occurrence : job.loadedOccurrences()) {
                for (StepEntry step : occurrence.mSteps) {
                    if (step.mWaitingCount > 0 && occurrence.isReady(step, nowMillis)) {
                        waiting += (long) step.mWaitingCount * step.mSpec.reservedCpuMillis();
                        wantedMinions += step.mSpec.longRunning() ? minionsFor(step) : 0;
                    }
                }
            }
        }
        long used = 0;
        long total = 0;
        List<String> empty = new ArrayList<>();
        List<String> pinned = new ArrayList<>();
        for (MinionSession minion : mState.mMinions.values()) {
            used += minion.room().usedCpuMillis();
            total += minion.isSchedulable(nowNanos) ? minion.info().cpuMillis() : 0;
            if (minion.isKnownEmpty()) {
                empty.add(minion.id());
            }
            boolean isPinned =
                    minion.tasks().values().stream()
                            .anyMatch(task -> task.mStep.mSpec.longRunning());
            if (isPinned) {
                pinned.add(minion.id());
            }
        }
        return new PoolLoad(waiting, used, total, empty, pinned, wantedMinions);
    }

    /**
     * Returns the number of minions that the waiting tasks of a step need; a step without a limit
     * per minion counts as limited to one task.
     */
    private static int minionsFor(StepEntry step) {
        int perMinion = Math.max(1, step.mSpec.maxPerMinion());
        return (step.mWaitingCount + perMinion - 1) / perMinion;
    }
}
