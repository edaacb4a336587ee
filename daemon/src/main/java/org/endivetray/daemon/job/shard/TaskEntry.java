package org.endivetray.daemon.job.shard;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The owner's view of one task.
 *
 * <p>Invariants: a task has a minion exactly while its phase occupies one.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class TaskEntry {
    private static final int FULL_PERCENT = 100;

    /** Longest time that a long-running task needs to start up. This is twice the usual time. */
    private static final long STARTUP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    final StepEntry mStep;
    final int mIndex;
    final String mName;
    TaskPhase mPhase = TaskPhase.WAITING;
    MinionSession mMinion;

    /** Number of the current run while the task has a minion, otherwise the highest known one. */
    int mRun;

    /** Highest number that is known of runs other than the current one. */
    private int mHighestOtherRun;

    final Set<Integer> mFailedRuns = new HashSet<>();

    /** Last saved checkpoint, empty if there is none. */
    String mCheckpoint = "";

    /** Where the progress is stored, null if there is none to store. */
    ProgressPart mPart;

    long mStartSentNanos;

    /** Time at which the last order was confirmed, by an answer or a listing. */
    long mAckedNanos;

    /** Time at which a start was left without an answer, 0 if there is no such start. */
    long mStartUnansweredNanos;

    /** Time before which the task is not started again after a refused start. */
    long mNotBeforeNanos;

    /**
     * Share at which the current run works, as listed last, in percent. It rises while a
     * long-running task starts up.
     */
    int mSharePercent;

    /** Latest run that this owner has started, 0 if there is none. */
    int mOwnRun;

    long mShareChangedNanos;

    /**
     * Load as listed last: the tail latency of a serving task, in milliseconds, otherwise the CPU
     * in use, in thousandths of a core.
     */
    int mLoad;

    boolean mWasStalled;

    /** How the last run under this owner ended, empty if there was none. */
    String mLastOutcome = "";

    /** Whether the minion has confirmed the latest stop order. */
    boolean mStopAcked;

    long mStopSentNanos;

    TaskEntry(StepEntry step, int index) {
        mStep = step;
        mIndex = index;
        mName = step.mName + "." + index;
    }

    /** Returns the key of the task in the stored progress of its job. */
    String progressKey() {
        return mStep.mOccurrence.mNumber + "." + mStep.mNumber + "." + mIndex;
    }

    /**
     * Returns whether the minion is responding and has last listed the task at its full share.
     *
     * <p>An adopted task counts only after the time in which it starts up, since its former owner
     * may have stopped and started it again after it was listed.
     */
    boolean isAvailable(long nowNanos) {
        return mPhase == TaskPhase.RUNNING
                && mMinion.mIsResponding
                && mSharePercent >= FULL_PERCENT
                && (mRun == mOwnRun || !isRecent(nowNanos));
    }

    /**
     * Returns whether a long-running task may still be starting up. A best-effort task is left out,
     * since it may be listed below its full share because it is throttled.
     */
    boolean mayBeStartingUp(long nowNanos) {
        return mStep.mSpec.longRunning()
                && !mStep.mSpec.fills()
                && mSharePercent < FULL_PERCENT
                && (mPhase == TaskPhase.STARTING
                        || mPhase == TaskPhase.RUNNING && isRecent(nowNanos));
    }

    private boolean isRecent(long nowNanos) {
        return nowNanos - mAckedNanos < STARTUP_NANOS;
    }

    /**
     * Records the number of a run that has ended, so that no later run gets it. The current run
     * keeps its number, also if an earlier owner has used a higher one.
     */
    void onRunKnown(int run) {
        mHighestOtherRun = Math.max(mHighestOtherRun, run);
        if (mMinion == null) {
            mRun = highestRun();
        }
    }

    /** Makes a listed run the current one, also if a run with a higher number is known. */
    void onRunAdopted(int run) {
        mHighestOtherRun = highestRun();
        mRun = run;
    }

    /** Records that the task has no minion any more. */
    void onReleased() {
        mMinion = null;
        mRun = highestRun();
    }

    /** Returns the highest known number of a run of the task. */
    int highestRun() {
        return Math.max(mRun, mHighestOtherRun);
    }

    /** Returns why the task may be started, for the log. */
    String startReason() {
        if (mLastOutcome.isEmpty()) {
            return mStep.mJob.mIsInherited ? "inherited" : "accepted";
        }
        return mLastOutcome;
    }

    /** Records that a run has failed, and returns whether that was not known. */
    boolean addFailedRun(int run) {
        boolean isNew = mFailedRuns.add(run);
        if (isNew) {
            mStep.mJob.mProgress.onChanged(this);
        }
        return isNew;
    }

    /**
     * Sets the checkpoint that a run has saved last, while it goes on. A long one is stored only
     * once the run has ended, since its record is not shared with other tasks.
     */
    void setCheckpoint(String checkpoint) {
        if (!mCheckpoint.equals(checkpoint)) {
            mCheckpoint = checkpoint;
            mStep.mJob.mProgress.onChanged(this);
        }
    }

    /** Sets the checkpoint of a run that has ended, from which the next one starts. */
    void saveCheckpoint(String checkpoint) {
        mCheckpoint = checkpoint;
        mStep.mJob.mProgress.onCheckpoint(this);
    }

    /** Restores the stored progress of a task that is not done. */
    void restore(int run, Set<Integer> failedRuns, String checkpoint) {
        mRun = run;
        mFailedRuns.addAll(failedRuns);
        mCheckpoint = checkpoint;
    }

    /** Marks the task, which has no minion, as done. */
    void markDone() {
        mPhase = TaskPhase.DONE;
        mStep.mWaitingCount--;
        mStep.mDoneCount++;
        mStep.mOccurrence.mOpenTasks--;
        mStep.mJob.mProgress.onChanged(this);
    }
}
