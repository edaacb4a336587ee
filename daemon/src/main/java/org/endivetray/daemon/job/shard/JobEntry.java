package org.endivetray.daemon.job.shard;

import java.util.BitSet;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.job.JobState;

/**
 * The owner's view of one job.
 *
 * <p>The tasks of an occurrence are in memory only while it is loaded: from shortly after its due
 * time until it is done or the job has ended. What a job takes of the memory is therefore
 * independent of the number of its occurrences.
 *
 * <p>Invariants: {@code mStoredState}, which callers are shown, is a final state only if that state
 * is stored; an occurrence that is done is never loaded again.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class JobEntry {
    final String mId;
    final StoredJob mStored;
    final long mAcceptedNanos;

    /** Size of the stored record, in bytes. */
    final int mRecordBytes;

    JobState mState = JobState.QUEUED;
    JobState mStoredState = JobState.QUEUED;

    /** What is stored of the progress, and where. */
    final JobProgress mProgress = new JobProgress(this);

    /** Time of the monotonic clock before which no record of the progress is stored again. */
    long mNextProgressNanos;

    long mEndedMillis;

    /** Whether the removal of the stored records has been queued. */
    boolean mIsRemoving;

    /** Time at which the removal of the stored records was confirmed, 0 if it was not. */
    long mRemovedNanos;

    /** Whether an earlier owner may have started tasks of the job. */
    boolean mIsInherited;

    /** Whether the submission has been counted against the rate of its account. */
    boolean mIsCounted;

    /** Whether the job gets room as a submission within the rate of its account. */
    boolean mIsEntitled;

    /** Whether the job has been late for so long that it gets room regardless of its account. */
    boolean mIsStarved;

    private final Map<Integer, OccurrenceEntry> mLoaded = new TreeMap<>();
    private final BitSet mDone = new BitSet();

    /** No occurrence with a lower number may be loaded. */
    private int mNextLoadable;

    JobEntry(String id, StoredJob stored, int recordBytes, long acceptedNanos) {
        mId = id;
        mStored = stored;
        mRecordBytes = recordBytes;
        mAcceptedNanos = acceptedNanos;
        mNextProgressNanos = acceptedNanos;
    }

    /** Returns the loaded occurrences, lowest number first. */
    Collection<OccurrenceEntry> loadedOccurrences() {
        return mLoaded.values();
    }

    /** Returns the loaded occurrence with a number, null if it is not loaded. */
    OccurrenceEntry loadedOccurrence(int number) {
        return mLoaded.get(number);
    }

    /** Returns the number of tasks of the loaded occurrences. */
    int loadedTasks() {
        return mLoaded.size() * tasksPerOccurrence();
    }

    int tasksPerOccurrence() {
        return mStored.spec().tasksPerOccurrence();
    }

    /** Returns whether the job has an occurrence with the number that may still be loaded. */
    boolean mayLoad(int number) {
        return !mState.isFinal()
                && number >= 0
                && number < mStored.spec().occurrences()
                && !mDone.get(number)
                && !mLoaded.containsKey(number);
    }

    /** Returns the number of the first occurrence that may be loaded, negative if there is none. */
    int nextLoadable() {
        while (mDone.get(mNextLoadable) || mLoaded.containsKey(mNextLoadable)) {
            mNextLoadable++;
        }
        return mayLoad(mNextLoadable) ? mNextLoadable : -1;
    }

    /** Returns whether an occurrence is due; the one of a job without schedule always is. */
    boolean isDue(int number, long nowMillis) {
        return !mStored.spec().isScheduled() || nowMillis >= dueMillis(number);
    }

    /**
     * Returns the time at which an occurrence is due, in milliseconds since 1970; a job without
     * schedule is due when it is accepted.
     */
    long dueMillis(int number) {
        return mStored.spec().isScheduled()
                ? mStored.spec().dueMillis(number)
                : mStored.acceptedMillis();
    }

    /** Loads an occurrence, for which {@link #mayLoad} must hold. */
    OccurrenceEntry load(int number) {
        OccurrenceEntry occurrence = new OccurrenceEntry(this, number);
        mLoaded.put(number, occurrence);
        return occurrence;
    }

    /** Removes a loaded occurrence from memory and returns whether it was loaded. */
    boolean unload(OccurrenceEntry occurrence) {
        return mLoaded.remove(occurrence.mNumber, occurrence);
    }

    /** Records that all tasks of an occurrence are done. */
    void markDone(int occurrence) {
        mDone.set(occurrence);
    }

    /** Returns whether all tasks of all occurrences are done. */
    boolean isDone() {
        return mDone.cardinality() == mStored.spec().occurrences();
    }

    /**
     * Returns the final state that the progress implies, empty if the job goes on. It may not be
     * stored as such if an earlier version has stored the progress.
     */
    Optional<JobState> impliedFinalState() {
        if (isDone()) {
            return Optional.of(JobState.COMPLETED);
        }
        boolean hasFailed =
                mLoaded.values().stream()
                        .flatMap(occurrence -> occurrence.tasks().stream())
                        .anyMatch(task -> task.mFailedRuns.size() >= mStored.queue().attempts());
        return hasFailed ? Optional.of(JobState.FAILED) : Optional.empty();
    }

    /** Returns whether the job has left the queued state. */
    boolean hasStarted() {
        return mState != JobState.QUEUED;
    }

    /** Returns the numbers of the occurrences that are done, which must not be modified. */
    BitSet doneOccurrences() {
        return mDone;
    }

    /**
     * Restores the stored state of the job and which of its occurrences are done.
     *
     * @param progress the stored progress, not null
     * @param version version of its key
     */
    void restore(StoredProgress progress, long version) {
        mState = progress.state();
        mStoredState = progress.state();
        mEndedMillis = progress.endedMillis();
        mDone.set(0, progress.firstNotDone());
        progress.doneLater().forEach(mDone::set);
        mProgress.first().mVersion = version;
        mProgress.onRecordLoaded(mState, (BitSet) mDone.clone());
    }
}
