package org.endivetray.policy.job;

import java.util.List;

/**
 * The load of a pool.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param waitingCpuMillis processors that tasks wait for, in thousandths of a core
 * @param usedCpuMillis processors in use, in thousandths of a core
 * @param totalCpuMillis processors of the minions that accept work, in thousandths of a core
 * @param emptyMinions ids of the minions that run no task, not null
 * @param pinnedMinions ids of the minions that run long-running tasks, not null
 * @param wantedMinions number of minions that waiting long-running tasks need in addition to the
 *     pinned ones
 */
public record PoolLoad(
        long waitingCpuMillis,
        long usedCpuMillis,
        long totalCpuMillis,
        List<String> emptyMinions,
        List<String> pinnedMinions,
        int wantedMinions) {
    public PoolLoad {
        emptyMinions = List.copyOf(emptyMinions);
        pinnedMinions = List.copyOf(pinnedMinions);
    }

    /** Returns the ratio of the processors used and waited for to those that there are. */
    public double demandRatio() {
        return (waitingCpuMillis + usedCpuMillis) / (double) Math.max(1, totalCpuMillis);
    }
}
