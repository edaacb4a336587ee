package org.endivetray.daemon.job.shard;

import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.JobState;
import org.endivetray.platform.RecordCodec;
import org.endivetray.policy.job.WritePacing;

/**
 * Stores the progress of a shard's jobs.
 *
 * <p>A record has the progress of all tasks of its job. It is encoded once for all changes until it
 * is sent, and a large one is sent less often, so that the scheduler's thread is free for other
 * work while many tasks of one job end.
 *
 * <p>Invariants: callers are shown a final state only once it is stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class ProgressWriter {
    private final SchedulerExecutor mExecutor;
    private final ShardState mState;
    private final BatchWriter mWriter;

    ProgressWriter(SchedulerExecutor executor, ShardState state, BatchWriter writer) {
        mExecutor = executor;
        mState = state;
        mWriter = writer;
    }

    /**
     * Queues the progress of a job for storing.
     *
     * @param job the job, not null
     * @param isUrgent whether to store it without waiting for further changes
     */
    void store(JobEntry job, boolean isUrgent) {
        JobState state = job.mState;
        Change change =
                Change.rewrite(
                        JobKeys.progress(mState.mPool) + job.mId,
                        () -> encode(job),
                        job.mProgressVersion,
                        version -> {
                            job.mProgressVersion = version;
                            if (state.isFinal() || !job.mStoredState.isFinal()) {
                                job.mStoredState = state;
                            }
                        });
        mWriter.add(isUrgent ? change : change.notBefore(job.mNextProgressNanos), isUrgent);
    }

    private byte[] encode(JobEntry job) {
        byte[] record = RecordCodec.encode(job.progress());
        job.mNextProgressNanos =
                mExecutor.nanoTime()
                        + TimeUnit.MILLISECONDS.toNanos(WritePacing.pauseMillis(record.length));
        return record;
    }
}
