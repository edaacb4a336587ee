package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.List;
import org.endivetray.job.StepSpec;

/**
 * The owner's view of one occurrence of a job, which exists only while the occurrence is loaded.
 *
 * <p>Invariants: {@code mOpenTasks} is the number of its tasks that are not done; {@code
 * mAssignedTasks} is the number of those assigned to a minion.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class OccurrenceEntry {
    final JobEntry mJob;
    final int mNumber;
    final List<StepEntry> mSteps = new ArrayList<>();
    int mOpenTasks;
    int mAssignedTasks;

    OccurrenceEntry(JobEntry job, int number) {
        mJob = job;
        mNumber = number;
        for (StepSpec spec : job.mStored.spec().steps()) {
            mSteps.add(new StepEntry(this, mSteps.size(), spec));
            mOpenTasks += spec.count();
        }
    }

    /** Returns all its tasks, in the order of their steps. */
    List<TaskEntry> tasks() {
        List<TaskEntry> tasks = new ArrayList<>();
        mSteps.forEach(step -> tasks.addAll(step.mTasks));
        return tasks;
    }

    /** Returns the task with an index in a step, or null if there is none. */
    TaskEntry task(int step, int index) {
        if (step < 0 || step >= mSteps.size()) {
            return null;
        }
        List<TaskEntry> tasks = mSteps.get(step).mTasks;
        return index < 0 || index >= tasks.size() ? null : tasks.get(index);
    }

    /** Returns whether a step's predecessors are done and the occurrence is due. */
    boolean isReady(StepEntry step, long nowMillis) {
        if (!mJob.isDue(mNumber, nowMillis)) {
            return false;
        }
        for (int predecessor : step.mSpec.after()) {
            if (!mSteps.get(predecessor).isDone()) {
                return false;
            }
        }
        return true;
    }
}
