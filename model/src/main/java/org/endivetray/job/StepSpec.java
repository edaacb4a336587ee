package org.endivetray.job;

import java.util.List;

/**
 * The tasks of one step of a job, with what each of them needs.
 *
 * <p>Invariants: {@code count} is 1 or more; {@code after} names earlier steps only.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param count number of tasks
 * @param cpuMillis CPU that a task needs, in thousandths of a core
 * @param memoryMb memory that a task needs, in megabytes
 * @param gpus number of accelerators that a task needs
 * @param estimateMillis duration of a task as declared by the caller, in milliseconds; a rough
 *     estimate
 * @param after numbers of the steps that must complete first, not null
 * @param checkpoints whether a task saves checkpoints
 * @param gang whether all tasks must run at the same time (gang scheduling)
 * @param sameRack whether the tasks are slow when spread over racks
 * @param requiredLabel label that a minion must have, empty for none
 * @param dataRack name of the rack that holds the data, empty for none
 * @param maxPerMinion maximum number of tasks of the step on one minion, 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image name of the program that a task runs, empty if not named
 * @param tailTargetMillis target tail latency of a long-running task that serves requests, in
 *     milliseconds, 0 for none
 * @param fills whether the tasks are best-effort tasks, which use only spare capacity
 * @param maxUnavailable maximum number of tasks that planned operations may make unavailable at the
 *     same time, negative for no limit
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

    /**
     * Returns the CPU that a task reserves on a minion, in thousandths of a core, 0 for a
     * best-effort task.
     */
    public int reservedCpuMillis() {
        return fills ? 0 : cpuMillis;
    }

    /** Returns whether the tasks serve requests with a target tail latency. */
    public boolean servesRequests() {
        return longRunning && !fills && tailTargetMillis > 0;
    }
}
