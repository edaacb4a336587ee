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
 * What the owner of a shard knows of one job.
 *
 * <p>Invariants: callers are shown {@code mStoredState}, never a final state that is not stored.
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
        for (int k = 0; k < stored.spec().occurrences(); k++) {
            List<StepEntry> steps = new ArrayList<>();
            for (StepSpec spec : stored.spec().steps()) {
                steps.add(new StepEntry(this, k, steps.size(), spec));
                mOpenTasks += spec.count();
            }
            mOccurrences.add(steps);
        }
    }

    /** Returns the task with the id, or null if the job has none such. */
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

    /** Returns whether a step's predecessors are done and its time has come. */
    boolean isReady(StepEntry step, long nowMillis) {
        if (mStored.spec().isScheduled()
                && nowMillis < mStored.spec().dueMillis(step.mOccurrence)) {
            return false;
        }
        List<StepEntry> steps = mOccurrences.get(step.mOccurrence);
        for (int before : step.mSpec.after()) {
            if (!steps.get(before).isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether any task has been started. */
    boolean hasStarted() {
        return mState != JobState.QUEUED;
    }

    /** Takes over what was stored of the job. */
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

    /** Notes that an earlier owner may have started tasks. */
    void markInherited() {
        for (List<StepEntry> steps : mOccurrences) {
            for (StepEntry step : steps) {
                step.mTasks.forEach(task -> task.mIsInherited = true);
            }
        }
    }

    /** Returns what to store of the job. */
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
