package org.endivetray.policy.job;

import java.util.List;

/**
 * How much a pool has to do.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param waitingCpuMillis processors that tasks wait for, in thousandths of a core
 * @param usedCpuMillis processors in use, in thousandths of a core
 * @param totalCpuMillis processors of minions that take work, in thousandths of a core
 * @param emptyMinions ids of the minions that run nothing, not null
 * @param pinnedMinions ids of the minions that run tasks that last, not null
 * @param wantedMinions minions that tasks that last wait for, beside the pinned ones
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

    /** Returns the processors asked for as a share of those that there are. */
    public double demandRatio() {
        return (waitingCpuMillis + usedCpuMillis) / (double) Math.max(1, totalCpuMillis);
    }
}
