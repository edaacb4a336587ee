package org.endivetray.daemon.job.shard;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobAnswer;
import org.endivetray.policy.job.ReturnTimes;

/**
 * Limits the jobs of a shard that have not ended, and tells refused callers when to return.
 *
 * <p>With client accounts in the configuration the return times follow {@link ReturnTimes}; without
 * them all callers are given the same.
 *
 * <p>Invariants: a submission is refused only before anything of it is stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class SubmissionLimit {
    /** Most jobs of a shard that have not ended. The limit bounds the memory of a daemon. */
    private static final int MAX_ACTIVE_JOBS = 6_000;

    private static final long RETRY_AFTER_OVERLOAD_MILLIS = 2_000;

    private final SchedulerExecutor mExecutor;
    private final ShardState mState;
    private final Supplier<ClientAccounts> mAccounts;
    private final int mMaxJobs;
    private final ReturnTimes mReturnTimes = new ReturnTimes();

    /** Number of jobs that had not ended when the ends were last counted. */
    private int mCountedJobs;

    /** Number of jobs accepted since the ends were last counted. */
    private int mAcceptedJobs;

    SubmissionLimit(
            SchedulerExecutor executor, ShardState state, Supplier<ClientAccounts> accounts) {
        this(executor, state, accounts, MAX_ACTIVE_JOBS);
    }

    SubmissionLimit(
            SchedulerExecutor executor,
            ShardState state,
            Supplier<ClientAccounts> accounts,
            int maxJobs) {
        mExecutor = executor;
        mState = state;
        mAccounts = accounts;
        mMaxJobs = maxJobs;
    }

    /** Returns whether there is a place for a job that is not kept for other callers. */
    boolean hasPlace(String id) {
        countEnds();
        int free = mMaxJobs - mState.mActiveJobs.size();
        return mAccounts.get().isEnforced()
                ? mReturnTimes.mayEnter(id, free, nowMillis())
                : free > 0;
    }

    /** Returns the answer to a submission that is refused. */
    JobAnswer refuse(String id, String reason) {
        long retryAfterMillis =
                mAccounts.get().isEnforced()
                        ? mReturnTimes.refuse(id, nowMillis())
                        : RETRY_AFTER_OVERLOAD_MILLIS;
        return JobAnswer.refused(retryAfterMillis, reason);
    }

    /** Records that a submission is being stored, so that no place is kept for it any more. */
    void onSubmitted(String id) {
        mReturnTimes.onAccepted(id);
    }

    /** Records that a job was added to the shard. */
    void onAccepted() {
        mAcceptedJobs++;
    }

    private void countEnds() {
        int active = mState.mActiveJobs.size();
        int ended = mCountedJobs + mAcceptedJobs - active;
        mReturnTimes.onEnded(Math.max(0, ended), nowMillis());
        mCountedJobs = active;
        mAcceptedJobs = 0;
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mExecutor.nanoTime());
    }
}
