package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.endivetray.daemon.job.record.StoredProgress.StoredTask;
import org.endivetray.platform.RecordCodec;

/**
 * The tasks of a job whose progress is in one stored record.
 *
 * <p>Invariants: no tasks are added to a part that has {@link #MAX_TASKS}, so that its record fits
 * into a stored value with the longest checkpoints that it may have.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class ProgressPart {
    /** Most tasks of a part, unless an earlier version has stored more in one record. */
    static final int MAX_TASKS = 250;

    /**
     * Longest checkpoint that is stored with the progress of its task, in bytes. All tasks of a
     * part together take a fifth of a stored value; the record of a job also names the occurrences
     * that are done out of order, of which there are as many as the job has tasks.
     */
    static final int MAX_CHECKPOINT_BYTES = 700;

    /** Longest checkpoint that fits into a record of its own, in bytes. */
    static final int MAX_LONG_CHECKPOINT_BYTES = RecordCodec.MAX_VALUE_BYTES - 100;

    private static final int ESCAPED_BYTES = 6;

    final int mNumber;

    /** Version of the stored record, as last known. */
    long mVersion;

    /** Whether the progress has changed since it was encoded last. */
    boolean mIsChanged;

    /** Whether a change is queued that has not been encoded yet. */
    boolean mIsQueued;

    /** Created with the first task, since many jobs wait without progress. */
    private Set<TaskEntry> mTasks = Set.of();

    ProgressPart(int number) {
        mNumber = number;
    }

    boolean hasRoom() {
        return mTasks.size() < MAX_TASKS;
    }

    void add(TaskEntry task) {
        if (mTasks.isEmpty()) {
            mTasks = new LinkedHashSet<>();
        }
        mTasks.add(task);
    }

    void removeIf(Predicate<TaskEntry> condition) {
        if (!mTasks.isEmpty()) {
            mTasks.removeIf(condition);
        }
    }

    void clear() {
        mTasks = Set.of();
    }

    /** Returns the tasks of the part. */
    Set<TaskEntry> tasks() {
        return mTasks;
    }

    /** Returns the progress to store. */
    Map<String, StoredTask> encode() {
        mIsChanged = false;
        mIsQueued = false;
        boolean mayInline = mTasks.size() <= MAX_TASKS;
        Map<String, StoredTask> tasks = new HashMap<>();
        for (TaskEntry task : mTasks) {
            boolean isDone = task.mPhase == TaskPhase.DONE;
            boolean isInline = !isDone && mayInline && isShort(task.mCheckpoint);
            tasks.put(
                    task.progressKey(),
                    StoredTask.of(
                            isDone,
                            task.mFailedRuns,
                            task.highestRun(),
                            isInline ? task.mCheckpoint : ""));
        }
        return tasks;
    }

    /** Returns whether the checkpoint of a task of this part needs a record of its own. */
    boolean needsOwnRecord(TaskEntry task) {
        boolean isInline = mTasks.size() <= MAX_TASKS && isShort(task.mCheckpoint);
        return task.mPhase != TaskPhase.DONE && !task.mCheckpoint.isEmpty() && !isInline;
    }

    private static boolean isShort(String checkpoint) {
        return encodedBytes(checkpoint) <= MAX_CHECKPOINT_BYTES;
    }

    /** Returns the most bytes that the text takes in a record. */
    static int encodedBytes(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean isPlain = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
            bytes += isPlain ? 1 : ESCAPED_BYTES;
        }
        return bytes;
    }
}
