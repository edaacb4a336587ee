package org.endivetray.daemon.job.shard;

import java.util.BitSet;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredCheckpoint;
import org.endivetray.job.JobState;
import org.endivetray.platform.RecordCodec;
import org.endivetray.policy.job.WritePacing;

/**
 * Stores the progress of a shard's jobs.
 *
 * <p>A record is encoded once for all changes until it is sent, and the records of a job are sent
 * less often the larger they are, so that the scheduler's thread is free for other work while many
 * tasks of one job end.
 *
 * <p>Invariants: callers are shown a final state only once it is stored; each record fits into a
 * stored value, whatever the number of tasks and the length of their checkpoints.
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
     * Queues the changed progress of a job for storing.
     *
     * @param job the job, not null
     * @param isUrgent whether to store its state without waiting for further changes
     */
    void store(JobEntry job, boolean isUrgent) {
        JobProgress progress = job.mProgress;
        if (!job.mState.isFinal()) {
            progress.takeLongCheckpoints().forEach(task -> storeLongCheckpoint(job, task));
        }
        if (isUrgent || progress.isRecordChanged()) {
            storeRecord(job, isUrgent);
        }
        if (!job.mState.isFinal()) {
            progress.further().stream()
                    .filter(part -> part.mIsChanged && !part.mIsQueued)
                    .forEach(part -> storePart(job, part));
        }
    }

    private void storeRecord(JobEntry job, boolean isUrgent) {
        JobState state = job.mState;
        BitSet done = new BitSet();
        Change change =
                Change.rewrite(
                        JobKeys.progress(mState.mPool) + job.mId,
                        () -> {
                            done.clear();
                            done.or(job.doneOccurrences());
                            return encode(job, job.mProgress.encodeRecord());
                        },
                        job.mProgress.first().mVersion,
                        version -> {
                            job.mProgress.first().mVersion = version;
                            job.mProgress.onRecordStored(done);
                            onStateStored(job, state);
                        });
        mWriter.add(isUrgent ? change : change.notBefore(job.mNextProgressNanos), isUrgent);
    }

    private void onStateStored(JobEntry job, JobState state) {
        if (state.isFinal() || !job.mStoredState.isFinal()) {
            job.mStoredState = state;
        }
        if (state.isFinal()) {
            removeFurtherRecords(job, mState.mPool, mWriter);
        }
    }

    private void storePart(JobEntry job, ProgressPart part) {
        part.mIsQueued = true;
        String key = JobKeys.progressParts(mState.mPool, job.mId) + part.mNumber;
        mWriter.add(
                Change.rewrite(
                                key,
                                () -> encode(job, job.mProgress.encode(part)),
                                part.mVersion,
                                version -> part.mVersion = version)
                        .notBefore(job.mNextProgressNanos),
                false);
    }

    private void storeLongCheckpoint(JobEntry job, TaskEntry task) {
        String name = task.progressKey();
        StoredCheckpoint checkpoint = new StoredCheckpoint(task.mCheckpoint);
        mWriter.add(
                Change.rewrite(
                                JobKeys.progressParts(mState.mPool, job.mId) + name,
                                () -> encode(job, checkpoint),
                                job.mProgress.checkpointVersion(name),
                                version -> job.mProgress.onCheckpointStored(name, version))
                        .notBefore(job.mNextProgressNanos),
                false);
    }

    private byte[] encode(JobEntry job, Object value) {
        byte[] record = RecordCodec.encode(value);
        long now = mExecutor.nanoTime();
        long from = job.mNextProgressNanos - now > 0 ? job.mNextProgressNanos : now;
        job.mNextProgressNanos =
                from + TimeUnit.MILLISECONDS.toNanos(WritePacing.pauseMillis(record.length));
        return record;
    }

    /**
     * Queues the removal of the records of the progress of an ended job beside that of the job,
     * which are of no more use.
     */
    static void removeFurtherRecords(JobEntry job, String pool, BatchWriter writer) {
        String prefix = JobKeys.progressParts(pool, job.mId);
        job.mProgress.takeFurtherRecords().forEach(name -> writer.remove(prefix + name, () -> {}));
    }
}
