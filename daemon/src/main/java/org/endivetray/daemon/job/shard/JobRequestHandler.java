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
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.VersionedValue;

/**
 * Takes jobs in, tells their state and cancels them.
 *
 * <p>Invariants: a job is accepted only once it is stored; it is refused only if the store has said
 * that it is not.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class JobRequestHandler {
    private static final Logger LOGGER = System.getLogger(JobRequestHandler.class.getName());

    /** Most jobs of a shard that are not ended. Bounds the memory of a daemon. */
    private static final int MAX_ACTIVE_JOBS = 6_000;

    private static final long RETRY_AFTER_OUTAGE_MILLIS = 1_000;
    private static final long RETRY_AFTER_OVERLOAD_MILLIS = 2_000;

    /** Added to the time for which states are told before records are removed. */
    private static final long PURGE_MARGIN_MILLIS = TimeUnit.SECONDS.toMillis(60);

    private final SchedulerExecutor mCalls;
    private final ShardState mState;
    private final BatchWriter mJournal;
    private final TaskLifecycle mFlow;
    private final Map<String, List<Promise<JobAnswer>>> mPending = new HashMap<>();
    private final List<Promise<JobAnswer>> mCancels = new ArrayList<>();

    JobRequestHandler(
            SchedulerExecutor calls, ShardState state, BatchWriter journal, TaskLifecycle flow) {
        mCalls = calls;
        mState = state;
        mJournal = journal;
        mFlow = flow;
    }

    void submit(QueueConfig queue, String id, JobSpec spec, Promise<JobAnswer> answer) {
        if (mState.mJobs.containsKey(id)) {
            answer.complete(JobAnswer.ok());
            return;
        }
        List<Promise<JobAnswer>> waiting = mPending.get(id);
        if (waiting != null) {
            waiting.add(answer);
            return;
        }
        if (mState.mActiveJobs.size() >= MAX_ACTIVE_JOBS) {
            answer.complete(JobAnswer.refused(RETRY_AFTER_OVERLOAD_MILLIS, "too many open jobs"));
            return;
        }
        mPending.put(id, new ArrayList<>(List.of(answer)));
        StoredJob stored = new StoredJob(mState.mPool, queue, spec, mCalls.currentTimeMillis());
        mJournal.add(
                BatchWriter.Change.creation(
                        JobKeys.jobs(mState.mPool) + id,
                        RecordCodec.encode(stored),
                        JobKeys.inboxJobs(mState.mPool) + id,
                        version -> onAccepted(new JobEntry(id, stored, mCalls.nanoTime())),
                        outcome -> onNotStored(id, outcome),
                        current -> onExists(id, current)),
                true);
    }

    private void onAccepted(JobEntry job) {
        if (!mState.mJobs.containsKey(job.mId)) {
            mState.add(job);
        }
        LOGGER.log(
                Level.INFO,
                "job: accepted job={0} queue={1} steps={2} tasks={3}",
                job.mId,
                job.mStored.queue().name(),
                Integer.toString(job.mStored.spec().steps().size()),
                Integer.toString(job.mOpenTasks));
        answerAll(job.mId, JobAnswer.ok());
        if (mState.mEarlyCancellations.remove(job.mId)) {
            mFlow.finish(job, JobState.CANCELED);
        }
    }

    private void onNotStored(String id, CommitOutcome outcome) {
        LOGGER.log(Level.INFO, "job: not stored job={0} outcome={1}", id, outcome);
        switch (outcome) {
            case CONFLICT -> failAll(mPending.remove(id));
            case NOT_DONE ->
                    answerAll(id, JobAnswer.refused(RETRY_AFTER_OUTAGE_MILLIS, "store refused"));
            default -> answerAll(id, JobAnswer.unknown("the store did not answer"));
        }
    }

    private void onExists(String id, VersionedValue current) {
        if (current.isPresent()) {
            ShardLoader.decodeJob(current, JobKeys.jobs(mState.mPool), mCalls.nanoTime())
                    .ifPresent(this::onAccepted);
        }
        answerAll(id, JobAnswer.ok());
    }

    private void answerAll(String id, JobAnswer answer) {
        List<Promise<JobAnswer>> waiting = mPending.remove(id);
        if (waiting != null) {
            waiting.forEach(promise -> promise.tryComplete(answer));
        }
    }

    private void failAll(List<Promise<JobAnswer>> waiting) {
        if (waiting != null) {
            waiting.forEach(promise -> promise.tryFail(new NotOwnerException(mState.mPool)));
        }
    }

    /** Answers all that wait after the shard was lost; what was sent may have been stored. */
    void onShardLost() {
        JobAnswer answer = JobAnswer.unknown("the shard has another owner");
        mPending.values().forEach(all -> all.forEach(promise -> promise.tryComplete(answer)));
        mCancels.forEach(promise -> promise.tryComplete(answer));
    }

    /** Takes in a job that another daemon has stored in this owner's place. */
    void onInboxJob(JobEntry job) {
        if (!mState.mJobs.containsKey(job.mId)) {
            onAccepted(job);
        }
    }

    /** Takes note of a cancellation that another daemon has stored in this owner's place. */
    void onInboxCancellation(String id) {
        JobEntry job = mState.mJobs.get(id);
        if (job == null) {
            mState.mEarlyCancellations.add(id);
        } else if (!job.mState.isFinal()) {
            mFlow.finish(job, JobState.CANCELED);
        }
    }

    /** Cancels the jobs whose cancellation was stored before this owner had read them. */
    void applyEarlyCancellations() {
        for (String id : List.copyOf(mState.mEarlyCancellations)) {
            JobEntry job = mState.mJobs.get(id);
            if (job != null) {
                mState.mEarlyCancellations.remove(id);
                if (!job.mState.isFinal()) {
                    mFlow.finish(job, JobState.CANCELED);
                }
            }
        }
    }

    JobAnswer state(String id) {
        JobEntry job = mState.mJobs.get(id);
        return job == null ? JobAnswer.noSuchJob() : JobAnswer.ofState(job.mStoredState);
    }

    void cancel(String id, Promise<JobAnswer> answer) {
        JobEntry job = mState.mJobs.get(id);
        if (job == null) {
            answer.complete(JobAnswer.noSuchJob());
            return;
        }
        if (!job.mState.isFinal()) {
            mFlow.finish(job, JobState.CANCELED);
        }
        mCancels.removeIf(promise -> promise.future().isComplete());
        mCancels.add(answer);
        mJournal.afterStored(() -> answer.tryComplete(JobAnswer.ok()));
    }

    int pending(String queue) {
        int pending = 0;
        for (JobEntry job : mState.mActiveJobs.values()) {
            if (!job.hasStarted() && job.mStored.queue().name().equals(queue)) {
                pending++;
            }
        }
        return pending;
    }

    /** Removes the records of jobs that ended long ago. */
    void purge(long retentionMillis) {
        long before = mCalls.currentTimeMillis() - retentionMillis - PURGE_MARGIN_MILLIS;
        for (JobEntry job : List.copyOf(mState.mJobs.values())) {
            if (job.mStoredState.isFinal() && job.mEndedMillis < before) {
                mState.mJobs.remove(job.mId);
                mJournal.remove(JobKeys.jobs(mState.mPool) + job.mId);
                mJournal.remove(JobKeys.inboxJobs(mState.mPool) + job.mId);
                mJournal.remove(JobKeys.progress(mState.mPool) + job.mId);
            }
        }
    }
}
