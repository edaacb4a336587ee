package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskId;

/**
 * The owner's view of one job.
 *
 * <p>Invariants: {@code mStoredState}, which callers are shown, is a final state only if that state
 * is stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class JobEntry {
    final String mId;
    final StoredJob mStored;
    final List<List<StepEntry>> mOccurrences = new ArrayList<>();
    final long mAcceptedNanos;
    JobState mState = JobState.QUEUED;
    JobState mStoredState = JobState.QUEUED;
    long mProgressVersion;
    long mEndedMillis;
    boolean mIsDirty;
    int mOpenTasks;

    JobEntry(String id, StoredJob stored, long acceptedNanos) {
        mId = id;
        mStored = stored;
        mAcceptedNanos = acceptedNanos;
        for (int occurrence = 0; occurrence < stored.spec().occurrences(); occurrence++) {
            List<StepEntry> steps = new ArrayList<>();
            for (StepSpec spec : stored.spec().steps()) {
                steps.add(new StepEntry(this, occurrence, steps.size(), spec));
                mOpenTasks += spec.count();
            }
            mOccurrences.add(steps);
        }
    }

    /** Returns the task with the id, or null if the job has no such task. */
    TaskEntry task(TaskId id) {
        if (id.occurrence() < 0 || id.occurrence() >= mOccurrences.size()) {
            return null;
        }
        List<StepEntry> steps = mOccurrences.get(id.occurrence());
        if (id.step() < 0 || id.step() >= steps.size()) {
            return null;
        }
        List<TaskEntry> tasks = steps.get(id.step()).mTasks;
        return id.index() < 0 || id.index() >= tasks.size() ? null : tasks.get(id.index());
    }

    /** Returns whether the predecessors of a step are done and its occurrence is due. */
    boolean isReady(StepEntry step, long nowMillis) {
        if (mStored.spec().isScheduled()
                && nowMillis < mStored.spec().dueMillis(step.mOccurrence)) {
            return false;
        }
        List<StepEntry> steps = mOccurrences.get(step.mOccurrence);
        for (int predecessor : step.mSpec.after()) {
            if (!steps.get(predecessor).isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the job has left the queued state. */
    boolean hasStarted() {
        return mState != JobState.QUEUED;
    }

    /**
     * Restores the stored progress of the job.
     *
     * @param progress the stored progress, not null
     * @param version version of its key
     */
    void restore(StoredProgress progress, long version) {
        mProgressVersion = version;
        mState = progress.state();
        mStoredState = progress.state();
        mEndedMillis = progress.endedMillis();
        for (List<StepEntry> steps : mOccurrences) {
            for (StepEntry step : steps) {
                for (TaskEntry task : step.mTasks) {
                    restore(task, progress.tasks().get(task.progressKey()));
                }
            }
        }
    }

    private void restore(TaskEntry task, StoredProgress.StoredTask stored) {
        if (stored == null) {
            return;
        }
        task.mRun = stored.run();
        task.mFailedRuns.addAll(stored.failedRuns());
        task.mCheckpoint = stored.checkpoint();
        if (stored.done()) {
            task.mPhase = TaskPhase.DONE;
            task.mStep.mDoneCount++;
            task.mStep.mWaitingCount--;
            mOpenTasks--;
        }
    }

    /** Marks all tasks as tasks that an earlier owner may have started. */
    void markInherited() {
        for (List<StepEntry> steps : mOccurrences) {
            for (StepEntry step : steps) {
                step.mTasks.forEach(task -> task.mIsInherited = true);
            }
        }
    }

    /** Returns the progress to store. */
    StoredProgress progress() {
        Map<String, StoredProgress.StoredTask> tasks = new HashMap<>();
        for (List<StepEntry> steps : mOccurrences) {
            for (StepEntry step : steps) {
                for (TaskEntry task : step.mTasks) {
                    if (task.hasProgress()) {
                        tasks.put(
                                task.progressKey(),
                                new StoredProgress.StoredTask(
                                        task.mPhase == TaskPhase.DONE,
                                        task.mFailedRuns,
                                        task.mRun,
                                        task.mCheckpoint));
                    }
                }
            }
        }
        return new StoredProgress(mState, mEndedMillis, tasks);
    }
}
