package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivetray.job.StepSpec;

/**
 * The owner's view of one step in one occurrence of a job.
 *
 * <p>Invariants: {@code mDoneCount} is the number of its tasks that are done.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class StepEntry {
    final JobEntry mJob;
    final OccurrenceEntry mOccurrence;
    final int mNumber;
    final StepSpec mSpec;
    final String mName;
    final List<TaskEntry> mTasks = new ArrayList<>();
    final Map<String, Integer> mCountPerMinion = new HashMap<>();

    /** How often one of its tasks has been assigned to a minion or released. */
    int mPlaceChanges;

    int mDoneCount;
    int mWaitingCount;
    PlacementTickets mTickets;

    /** Time that the step can still wait and meet its job's objective, as ranked last. */
    long mSlackMillis;

    /** Time at which tasks began to wait for a near place, 0 if none does. */
    long mNearWaitNanos;

    StepEntry(OccurrenceEntry occurrence, int number, StepSpec spec) {
        mJob = occurrence.mJob;
        mOccurrence = occurrence;
        mNumber = number;
        mSpec = spec;
        mName = mJob.mId + "." + occurrence.mNumber + "." + number;
        for (int i = 0; i < spec.count(); i++) {
            mTasks.add(new TaskEntry(this, i));
        }
        mWaitingCount = spec.count();
    }

    /** Returns whether all its tasks are done. */
    boolean isDone() {
        return mDoneCount == mTasks.size();
    }

    /** Returns the kind of its tasks, under which their durations are learnt. */
    String kind() {
        return mJob.mStored.queue().name() + "/" + mNumber;
    }

    /** Returns the number of its tasks that are assigned to a minion. */
    int countOn(MinionSession minion) {
        return mCountPerMinion.getOrDefault(minion.id(), 0);
    }

    /** Returns the number of its tasks that are not available. */
    int countUnavailable(long nowNanos) {
        int unavailable = 0;
        for (TaskEntry task : mTasks) {
            if (!task.isAvailable(nowNanos)) {
                unavailable++;
            }
        }
        return unavailable;
    }
}
