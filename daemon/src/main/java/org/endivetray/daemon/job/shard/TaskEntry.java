package org.endivetray.daemon.job.shard;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What the owner of a shard knows of one task.
 *
 * <p>Invariants: it has a minion exactly while its phase occupies one.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class TaskEntry {
    private static final int FULL_PERCENT = 100;

    /** Time that a task that lasts needs at most until it serves. Twice the usual start-up. */
    private static final long STARTUP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    final StepEntry mStep;
    final int mIndex;
    final String mName;
    TaskPhase mPhase = TaskPhase.WAITING;
    MinionSession mMinion;
    int mRun;
    final Set<Integer> mFailedRuns = new HashSet<>();
    String mCheckpoint = "";
    long mStartSentNanos;
    long mAckedNanos;
    long mStartUnansweredNanos;
    long mNotBeforeNanos;
    int mSharePercent;
    long mShareChangedNanos;
    int mLoad;
    boolean mIsInherited;
    boolean mWasStalled;
    boolean mStopAcked;
    long mStopSentNanos;

    TaskEntry(StepEntry step, int index) {
        mStep = step;
        mIndex = index;
        mName = step.mName + "." + index;
    }

    /** Returns the key under which the task's progress is stored. */
    String progressKey() {
        return mStep.mOccurrence + "." + mStep.mNumber + "." + mIndex;
    }

    /** Returns whether it has certainly started up, and worked in full when last heard of. */
    boolean isAvailable(long nowNanos) {
        return mPhase == TaskPhase.RUNNING
                && mMinion.mIsResponding
                && mSharePercent >= FULL_PERCENT
                && nowNanos - mAckedNanos >= STARTUP_NANOS;
    }

    /** Returns whether there is anything to keep beyond the job itself. */
    boolean hasProgress() {
        return mPhase == TaskPhase.DONE || !mFailedRuns.isEmpty() || !mCheckpoint.isEmpty();
    }
}
