package org.endivetray.daemon.job.shard;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What the tasks of a gang share: a run of the gang has one outcome, which the end of the run of
 * any of its tasks shows.
 *
 * <p>Invariants: either all tasks of a gang are done or none is, and all have the same failed runs,
 * in memory and in the stored progress.
 *
 * <p>This class has no state; the steps belong to the scheduler's thread.
 */
final class Gang {
    private Gang() {}

    /** Returns the tasks whose outcome a task shares: all of a gang, otherwise only the task. */
    static List<TaskEntry> sharingOutcome(TaskEntry task) {
        return isGang(task.mStep) ? task.mStep.mTasks : List.of(task);
    }

    private static boolean isGang(StepEntry step) {
        return step.mSpec.gang() && !step.mSpec.longRunning();
    }

    /**
     * Records that a run of a task has failed, which is a failure of the whole gang.
     *
     * @return whether that failure of the task or its gang was not known
     */
    static boolean recordFailure(TaskEntry task, int run) {
        boolean isNew = task.addFailedRun(run);
        sharingOutcome(task).forEach(member -> member.addFailedRun(run));
        return isNew;
    }

    /** Completes the restored progress of a step, of which an earlier version stored each end. */
    static void complete(StepEntry step) {
        if (!isGang(step)) {
            return;
        }
        if (step.mDoneCount > 0) {
            step.mTasks.stream()
                    .filter(task -> task.mPhase != TaskPhase.DONE)
                    .forEach(TaskEntry::markDone);
        }
        Set<Integer> failedRuns = new HashSet<>();
        step.mTasks.forEach(task -> failedRuns.addAll(task.mFailedRuns));
        step.mTasks.forEach(task -> failedRuns.forEach(task::addFailedRun));
    }
}
