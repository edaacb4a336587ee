package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.daemon.job.record.StoredTasks;
import org.endivetray.job.JobState;
import org.endivetray.platform.SharedStore;

/**
 * Divides the progress of a job into records that each fit into a stored value.
 *
 * <p>The first part is in the record of the job, with its state and the occurrences that are done,
 * so that most jobs have one record. Further parts have records with tasks only, and a long
 * checkpoint has one to itself.
 *
 * <p>Invariants: a task with progress belongs to one part for good; its progress is removed from
 * the store only with or after the record of the job that shows its occurrence as done or the job
 * as ended.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class JobProgress {
    private static final Logger LOGGER = System.getLogger(JobProgress.class.getName());

    private final JobEntry mJob;
    private final ProgressPart mFirst = new ProgressPart(0);

    /** The further parts, in the order of their numbers; created with the first of them. */
    private List<ProgressPart> mFurther = List.of();

    /** The occurrences that are done according to the stored record of the job, null for none. */
    private BitSet mStoredDone;

    /**
     * Versions of the records of long checkpoints, by the progress key of their task; created with
     * the first of them.
     */
    private Map<String, Long> mCheckpointVersions = Map.of();

    /** Tasks whose long checkpoint has changed since its storing was queued; created as above. */
    private Set<TaskEntry> mLongCheckpoints = Set.of();

    /** The state that was encoded last. */
    private JobState mEncodedState = JobState.QUEUED;

    /** Number of the occurrences that were done when the record of the job was encoded last. */
    private int mEncodedDone;

    JobProgress(JobEntry job) {
        mJob = job;
    }

    /** Returns the part that is in the record of the job. */
    ProgressPart first() {
        return mFirst;
    }

    /** Returns the parts with records of their own. */
    List<ProgressPart> further() {
        return mFurther;
    }

    /** Records that the progress of a task has changed; that of an ended job is not stored. */
    void onChanged(TaskEntry task) {
        if (mJob.mState.isFinal()) {
            return;
        }
        if (task.mPart == null) {
            task.mPart = partWithRoom();
            task.mPart.add(task);
        }
        task.mPart.mIsChanged = true;
    }

    /** Records that the checkpoint of a task has changed, and is to be stored if it is long. */
    void onCheckpoint(TaskEntry task) {
        onChanged(task);
        if (task.mPart == null) {
            return;
        }
        int bytes = ProgressPart.encodedBytes(task.mCheckpoint);
        boolean isTooLong = bytes > ProgressPart.MAX_LONG_CHECKPOINT_BYTES;
        if (task.mPart.needsOwnRecord(task) && !isTooLong) {
            addLongCheckpoint(task);
        } else if (mLongCheckpoints.contains(task)) {
            mLongCheckpoints.remove(task);
        }
        if (isTooLong) {
            LOGGER.log(
                    Level.WARNING,
                    "job: checkpoint not stored, larger than the store accepts task={0} bytes={1}",
                    task.mName,
                    Integer.toString(bytes));
        }
    }

    private void addLongCheckpoint(TaskEntry task) {
        if (mLongCheckpoints.isEmpty()) {
            mLongCheckpoints = new LinkedHashSet<>();
        }
        mLongCheckpoints.add(task);
    }

    private ProgressPart partWithRoom() {
        if (!mFirst.hasRoom()) {
            mFirst.removeIf(task -> !isLoaded(task));
        }
        if (mFirst.hasRoom()) {
            return mFirst;
        }
        for (ProgressPart part : mFurther) {
            if (part.hasRoom()) {
                return part;
            }
        }
        return part(mFurther.size() + 1);
    }

    private boolean isLoaded(TaskEntry task) {
        OccurrenceEntry occurrence = task.mStep.mOccurrence;
        return mJob.loadedOccurrence(occurrence.mNumber) == occurrence;
    }

    /** Returns whether the record of the job has changed since it was encoded last. */
    boolean isRecordChanged() {
        return mFirst.mIsChanged
                || mEncodedState != mJob.mState
                || mEncodedDone != mJob.doneOccurrences().cardinality();
    }

    /** Returns the record of the job; one that has ended needs no tasks. */
    StoredProgress encodeRecord() {
        BitSet done = mJob.doneOccurrences();
        mEncodedState = mJob.mState;
        mEncodedDone = done.cardinality();
        mFirst.removeIf(task -> !isLoaded(task));
        if (mJob.mState.isFinal()) {
            mFirst.clear();
        }
        var tasks = mFirst.encode();
        int firstNotDone = done.nextClearBit(0);
        List<Integer> doneLater =
                done.stream().filter(number -> number > firstNotDone).boxed().toList();
        return new StoredProgress(mJob.mState, mJob.mEndedMillis, tasks, firstNotDone, doneLater);
    }

    /**
     * Called when the record of the job has been stored.
     *
     * @param done the occurrences that are done according to it, not null
     */
    void onRecordStored(BitSet done) {
        mStoredDone = done;
    }

    /** Returns the record of a further part. */
    StoredTasks encode(ProgressPart part) {
        part.removeIf(
                task -> mStoredDone != null && mStoredDone.get(task.mStep.mOccurrence.mNumber));
        return new StoredTasks(part.encode());
    }

    /** Returns the tasks whose long checkpoint is to be stored, and forgets them. */
    List<TaskEntry> takeLongCheckpoints() {
        List<TaskEntry> tasks = List.copyOf(mLongCheckpoints);
        mLongCheckpoints = Set.of();
        return tasks;
    }

    /** Returns the last known version of the record of a long checkpoint. */
    long checkpointVersion(String progressKey) {
        Long version = mCheckpointVersions.get(progressKey);
        if (version == null) {
            onCheckpointStored(progressKey, SharedStore.ABSENT);
            return SharedStore.ABSENT;
        }
        return version;
    }

    /** Records the version of the record of a long checkpoint. */
    void onCheckpointStored(String progressKey, long version) {
        if (mCheckpointVersions.isEmpty()) {
            mCheckpointVersions = new HashMap<>();
        }
        mCheckpointVersions.put(progressKey, version);
    }

    /**
     * Returns the names of the records beside that of the job which may exist, and forgets them.
     */
    List<String> takeFurtherRecords() {
        List<String> names = new ArrayList<>(mCheckpointVersions.keySet());
        mFurther.forEach(part -> names.add(Integer.toString(part.mNumber)));
        mCheckpointVersions = Map.of();
        mLongCheckpoints = Set.of();
        mFurther = List.of();
        return names;
    }

    /** Records that the progress of a task was loaded from a part. */
    void onLoaded(TaskEntry task, int number) {
        if (task.mPart == null) {
            task.mPart = part(number);
            task.mPart.add(task);
        }
    }

    /** Records the version of the record that a part was loaded from. */
    void onLoaded(int number, long version) {
        part(number).mVersion = version;
    }

    /** Records the occurrences that are done according to the loaded record of the job. */
    void onRecordLoaded(JobState state, BitSet done) {
        mEncodedState = state;
        mEncodedDone = done.cardinality();
        mStoredDone = done;
    }

    /**
     * Called when all records have been loaded. Checkpoints that an earlier version has stored in a
     * record of more tasks than a part has get records of their own.
     */
    void onAllLoaded() {
        onAllLoaded(mFirst);
        mFurther.forEach(this::onAllLoaded);
    }

    private void onAllLoaded(ProgressPart part) {
        part.mIsChanged = false;
        part.tasks().stream()
                .filter(part::needsOwnRecord)
                .filter(task -> !mCheckpointVersions.containsKey(task.progressKey()))
                .forEach(this::addLongCheckpoint);
    }

    /** Returns the part with a number, with those before it if it does not exist yet. */
    private ProgressPart part(int number) {
        if (number == 0) {
            return mFirst;
        }
        if (mFurther.isEmpty()) {
            mFurther = new ArrayList<>();
        }
        while (mFurther.size() < number) {
            mFurther.add(new ProgressPart(mFurther.size() + 1));
        }
        return mFurther.get(number - 1);
    }
}
