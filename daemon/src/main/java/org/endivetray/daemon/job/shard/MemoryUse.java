package org.endivetray.daemon.job.shard;

import org.endivetray.policy.job.MemoryLimit;

/**
 * Counts what the jobs of all shards of a daemon take of its memory.
 *
 * <p>Invariants: each job and each loaded occurrence of a shard that is not lost is counted once.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class MemoryUse {
    private int mScheduledTasks;
    private int mUnscheduledTasks;
    private long mRecordBytes;

    /** Returns the current use. */
    MemoryLimit.Use current() {
        return new MemoryLimit.Use(mScheduledTasks, mUnscheduledTasks, mRecordBytes);
    }

    /** Adds a number of loaded tasks, negative if they are unloaded. */
    void addTasks(boolean isScheduled, int tasks) {
        if (isScheduled) {
            mScheduledTasks += tasks;
        } else {
            mUnscheduledTasks += tasks;
        }
    }

    /** Adds the size of a job's record, negative if the job is removed. */
    void addRecordBytes(long bytes) {
        mRecordBytes += bytes;
    }
}
