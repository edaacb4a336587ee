package org.endivetray.daemon.job.shard;

import io.vertx.core.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredLocation;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.job.MemoryLimit;

/**
 * Handles requests to submit jobs, to report their state and to cancel them.
 *
 * <p>Invariants: a job is reported as accepted only after it has been stored, and as refused only
 * if it has certainly not been stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class JobRequestHandler {
    private static final Logger LOGGER = System.getLogger(JobRequestHandler.class.getName());

    private static final long RETRY_AFTER_OUTAGE_MILLIS = 1_000;

    /** Time for which records are kept beyond the retention time. */
    static final long PURGE_MARGIN_MILLIS = TimeUnit.SECONDS.toMillis(60);

    /** Longest time that a list of the inbox takes, several pages with the time limit of each. */
    private static final long MAX_LIST_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SchedulerExecutor mExecutor;
    private final ShardState mState;
    private final BatchWriter mWriter;
    private final TaskLifecycle mLifecycle;
    private final MemoryUse mMemory;
    private final QueueRecord mQueues;
    private final CancellationCleaner mCancellations;
    private final SubmissionLimit mLimit;
    private final Map<String, List<Promise<JobAnswer>>> mPendingSubmissions = new HashMap<>();

    /** The submissions whose outcome is unknown, by job id. */
    private final Map<String, Reservation> mReservations = new HashMap<>();

    private final List<Promise<JobAnswer>> mPendingCancellations = new ArrayList<>();

    /**
     * A submission that is being stored.
     *
     * @param queue name of its queue, not null
     * @param recordBytes size of its record, in bytes
     */
    private record Reservation(String queue, int recordBytes) {}

    JobRequestHandler(
            SchedulerExecutor executor,
            ShardState state,
            BatchWriter writer,
            TaskLifecycle lifecycle,
            MemoryUse memory,
            QueueRecord queues,
            CancellationCleaner cancellations,
            SubmissionLimit limit) {
        mExecutor = executor;
        mState = state;
        mWriter = writer;
        mLifecycle = lifecycle;
        mMemory = memory;
        mQueues = queues;
        mCancellations = cancellations;
        mLimit = limit;
    }

    /**
     * Stores a job and answers once the outcome is known; a repeated submission adds no second job.
     */
    void submit(
            QueueConfig queue, String account, String id, JobSpec spec, Promise<JobAnswer> answer) {
        List<Promise<JobAnswer>> waiting = mPendingSubmissions.get(id);
        if (waiting != null) {
            waiting.add(answer);
            return;
        }
        JobEntry accepted = mState.mJobs.get(id);
        if (accepted != null) {
            mPendingSubmissions.put(id, new ArrayList<>(List.of(answer)));
            confirmAccepted(accepted);
            return;
        }
        // An earlier attempt whose outcome is unknown may still be stored.
        boolean mayExist = mReservations.containsKey(id);
        if (!mayExist && !mLimit.hasPlace(id)) {
            answer.complete(mLimit.refuse(id, "the shard has too many active jobs"));
            return;
        }
        StoredJob stored =
                new StoredJob(mState.mPool, queue, spec, mExecutor.currentTimeMillis(), account);
        byte[] record = stored.encode();
        boolean hasRoom =
                MemoryLimit.accepts(
                        spec.isScheduled(),
                        spec.tasksPerOccurrence(),
                        record.length,
                        mMemory.current());
        if (!mayExist && !hasRoom) {
            answer.complete(mLimit.refuse(id, "the daemon's memory limit is reached"));
            return;
        }
        mLimit.onSubmitted(id);
        mPendingSubmissions.put(id, new ArrayList<>(List.of(answer)));
        reserve(id, new Reservation(queue.name(), record.length));
        // Queued before the job, so that the pool keeps an owner from its acceptance on.
        mQueues.store();
        mWriter.add(
                Change.creation(
                        JobKeys.jobs(mState.mPool) + id,
                        record,
                        JobKeys.inboxJobs(mState.mPool) + id,
                        StoredLocation.write(id, mState.mPool),
                        version ->
                                onAccepted(
                                        new JobEntry(
                                                id, stored, record.length, mExecutor.nanoTime())),
                        outcome -> onNotStored(id, outcome),
                        result -> onExists(id, result)),
                true);
    }

    /** Counts a submission until its outcome is known. */
    private void reserve(String id, Reservation reservation) {
        release(id);
        mReservations.put(id, reservation);
        mMemory.addRecordBytes(reservation.recordBytes());
        mState.countJobs(reservation.queue(), 1);
    }

    private void release(String id) {
        Reservation reservation = mReservations.remove(id);
        if (reservation != null) {
            mMemory.addRecordBytes(-reservation.recordBytes());
            mState.countJobs(reservation.queue(), -1);
        }
    }

    private void onAccepted(JobEntry job) {
        release(job.mId);
        if (!mState.mJobs.containsKey(job.mId)) {
            mState.add(job);
            mLimit.onAccepted();
        }
        LOGGER.log(
                Level.INFO,
                "job: accepted job={0} queue={1} steps={2} tasks={3} account={4}",
                job.mId,
                job.mStored.queue().name(),
                Integer.toString(job.mStored.spec().steps().size()),
                Integer.toString(job.tasksPerOccurrence() * job.mStored.spec().occurrences()),
                job.mStored.account());
        confirmAccepted(job);
        if (mState.mEarlyCancellations.remove(job.mId)) {
            mLifecycle.finish(job, JobState.CANCELED);
        }
    }

    /** Answers the submissions of an accepted job once the pool is known to need an owner. */
    private void confirmAccepted(JobEntry job) {
        mQueues.afterRecorded(job.mStored.queue().name(), () -> answerAll(job.mId, JobAnswer.ok()));
    }

    private void onNotStored(String id, CommitOutcome outcome) {
        LOGGER.log(Level.INFO, "job: not stored job={0} outcome={1}", id, outcome);
        switch (outcome) {
            case CONFLICT -> failAll(mPendingSubmissions.remove(id));
            case NOT_DONE -> {
                release(id);
                answerAll(id, JobAnswer.refused(RETRY_AFTER_OUTAGE_MILLIS, "store refused"));
            }
            default -> answerAll(id, JobAnswer.unknown("the store did not answer"));
        }
    }

    private void onExists(String id, CommitResult result) {
        release(id);
        VersionedValue job = result.currentOf(JobKeys.jobs(mState.mPool) + id);
        if (job.isPresent()) {
            ShardLoader.decodeJob(job, JobKeys.jobs(mState.mPool), mExecutor.nanoTime())
                    .ifPresentOrElse(this::onAccepted, () -> answerAll(id, JobAnswer.ok()));
        } else if (StoredLocation.isTombstone(result.currentOf(JobKeys.location(id)))) {
            LOGGER.log(Level.INFO, "job: not accepted, was cancelled job={0}", id);
            answerAll(id, JobAnswer.cancelledBefore());
        } else {
            answerAll(id, JobAnswer.ok());
        }
    }

    private void answerAll(String id, JobAnswer answer) {
        List<Promise<JobAnswer>> waiting = mPendingSubmissions.remove(id);
        if (waiting != null) {
            waiting.forEach(promise -> promise.tryComplete(answer));
        }
    }

    private void failAll(List<Promise<JobAnswer>> waiting) {
        if (waiting != null) {
            waiting.forEach(promise -> promise.tryFail(new NotOwnerException(mState.mPool)));
        }
    }

    /**
     * Answers all pending requests after the shard was lost. The outcome is unknown, since changes
     * that were sent may have been stored.
     */
    void onShardLost() {
        JobAnswer answer = JobAnswer.unknown("the shard has another owner");
        mPendingSubmissions
                .values()
                .forEach(answers -> answers.forEach(promise -> promise.tryComplete(answer)));
        mPendingCancellations.forEach(promise -> promise.tryComplete(answer));
        List.copyOf(mReservations.keySet()).forEach(this::release);
    }

    /** Accepts a job that another daemon has stored in the inbox. */
    void onInboxJob(JobEntry job) {
        if (!mState.mJobs.containsKey(job.mId)) {
            onAccepted(job);
        }
    }

    /**
     * Applies a cancellation that another daemon has stored in the inbox. If the job is not known
     * yet, it is cancelled as soon as it is accepted.
     */
    void onInboxCancellation(String id) {
        mCancellations.add(id);
        JobEntry job = mState.mJobs.get(id);
        if (job == null) {
            mState.mEarlyCancellations.add(id);
        } else if (!job.mState.isFinal()) {
            mLifecycle.finish(job, JobState.CANCELED);
        }
    }

    /** Cancels the jobs whose cancellation was stored before this owner had loaded them. */
    void applyEarlyCancellations() {
        for (String id : List.copyOf(mState.mEarlyCancellations)) {
            mCancellations.add(id);
            JobEntry job = mState.mJobs.get(id);
            if (job != null) {
                mState.mEarlyCancellations.remove(id);
                if (!job.mState.isFinal()) {
                    mLifecycle.finish(job, JobState.CANCELED);
                }
            }
        }
    }

    /** Ends the jobs whose loaded progress implies a final state. */
    void finishImplied() {
        for (JobEntry job : List.copyOf(mState.mActiveJobs.values())) {
            job.impliedFinalState().ifPresent(state -> mLifecycle.finish(job, state));
        }
    }

    /**
     * Returns the state of a job, which is a final state only once that state is stored, and is
     * unknown while the job is being stored.
     */
    JobAnswer state(String id) {
        JobEntry job = mState.mJobs.get(id);
        if (job != null) {
            return JobAnswer.ofState(job.mStoredState);
        }
        return mReservations.containsKey(id)
                ? JobAnswer.unknown("the job is being stored")
                : JobAnswer.noSuchJob();
    }

    /**
     * Cancels a job and answers once the cancellation is stored. A job that is being stored is
     * cancelled as soon as it is accepted, if it is; until then it does not exist.
     */
    void cancel(String id, Promise<JobAnswer> answer) {
        JobEntry job = mState.mJobs.get(id);
        if (job == null) {
            if (mReservations.containsKey(id)) {
                mState.mEarlyCancellations.add(id);
            }
            answer.complete(JobAnswer.noSuchJob());
            return;
        }
        if (!job.mState.isFinal()) {
            mLifecycle.finish(job, JobState.CANCELED);
        }
        mPendingCancellations.removeIf(promise -> promise.future().isComplete());
        mPendingCancellations.add(answer);
        mWriter.afterStored(() -> answer.tryComplete(JobAnswer.ok()));
    }

    /** Returns the number of jobs of a queue that have not been started. */
    int pending(String queue) {
        int pending = 0;
        for (JobEntry job : mState.mActiveJobs.values()) {
            if (!job.hasStarted() && job.mStored.queue().name().equals(queue)) {
                pending++;
            }
        }
        return pending;
    }

    /**
     * Removes the records of the jobs whose retention time has passed, and then the jobs. A job is
     * kept until no list of the inbox that was read before the removal can arrive any more, from
     * which it would be accepted as a new one.
     *
     * @param retentionMillis time for which callers can query the state of an ended job, in
     *     milliseconds
     */
    void purge(long retentionMillis) {
        long endedBefore = mExecutor.currentTimeMillis() - retentionMillis - PURGE_MARGIN_MILLIS;
        for (JobEntry job : List.copyOf(mState.mJobs.values())) {
            if (job.mStoredState.isFinal() && job.mEndedMillis < endedBefore) {
                purge(job);
            }
        }
    }

    /**
     * Removes the location first, since the next owner removes the rest as long as the job has a
     * record, and the progress last: a record without it is that of a job that has not run yet.
     */
    private void purge(JobEntry job) {
        if (!job.mIsRemoving) {
            job.mIsRemoving = true;
            ProgressWriter.removeFurtherRecords(job, mState.mPool, mWriter);
            mWriter.remove(JobKeys.location(job.mId), () -> {});
            mWriter.remove(JobKeys.jobs(mState.mPool) + job.mId, () -> {});
            mWriter.remove(JobKeys.inboxJobs(mState.mPool) + job.mId, () -> {});
            mWriter.remove(
                    JobKeys.progress(mState.mPool) + job.mId,
                    () -> job.mRemovedNanos = mExecutor.nanoTime());
        } else if (job.mRemovedNanos != 0
                && mExecutor.nanoTime() - job.mRemovedNanos >= MAX_LIST_NANOS) {
            mState.remove(job);
        }
    }
}
