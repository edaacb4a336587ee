package org.endivetray.job;

import java.util.List;

/**
 * What each task of one step of a job needs.
 *
 * <p>Invariants: {@code count} is 1 or more; {@code after} names earlier steps only.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param count number of tasks
 * @param cpuMillis processor need of a task, in thousandths of a core
 * @param memoryMb memory need of a task, in megabytes
 * @param gpus accelerators of a task
 * @param estimateMillis declared duration of a task, in milliseconds, a rough guess
 * @param after numbers of the steps that must be done first, not null
 * @param checkpoints whether a task saves its progress
 * @param gang whether the tasks work only together
 * @param sameRack whether the tasks are slow when spread over racks
 * @param requiredLabel label that a minion must have, empty for none
 * @param dataRack rack that holds the data, empty for none
 * @param maxPerMinion most tasks of the step on one minion, 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image what a task runs, empty if not named
 * @param tailTargetMillis bound of the response times that a serving task gives its users, 0 for
 *     none
 * @param fills whether the tasks use only capacity that others leave
 * @param maxUnavailable tasks that planned actions may make unavailable at the same time, negative
 *     for any number
 */
public record StepSpec(
        int count,
        int cpuMillis,
        int memoryMb,
        int gpus,
        long estimateMillis,
        List<Integer> after,
        boolean checkpoints,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerMinion,
        boolean speculative,
        boolean longRunning,
        String image,
        int tailTargetMillis,
        boolean fills,
        int maxUnavailable) {
    public StepSpec {
        after = List.copyOf(after);
    }

    /** Returns the processor need that counts against a minion, in thousandths of a core. */
    public int reservedCpuMillis() {
        return fills ? 0 : cpuMillis;
    }

    /** Returns whether the tasks answer users of their own. */
    public boolean servesRequests() {
        return longRunning && !fills && tailTargetMillis > 0;
    }
}
