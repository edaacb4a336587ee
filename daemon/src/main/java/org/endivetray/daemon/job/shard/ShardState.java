package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.TaskId;

/**
 * The jobs and minions of one shard.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class ShardState {
    final String mPool;
    final long mToken;
    final Map<String, JobEntry> mJobs = new HashMap<>();
    final Map<String, JobEntry> mActiveJobs = new LinkedHashMap<>();
    final Map<String, MinionSession> mMinions = new LinkedHashMap<>();

    /** Ids of the jobs whose cancellation was read from the inbox before the job was known. */
    final Set<String> mEarlyCancellations = new HashSet<>();

    /** Minions that may run tasks of an earlier owner and have not answered this owner yet. */
    final Set<String> mUnreconciledMinions = new HashSet<>();

    /**
     * Time after which no task of an earlier owner can run on a minion that has not answered, since
     * its lease has expired.
     */
    long mInheritedLeaseEndNanos;

    /**
     * Minions that were terminated by order, with the start of their incarnation; their
     * registrations may remain for a time.
     */
    final Map<String, Long> mTerminatedMinions = new HashMap<>();

    boolean mNeedsDispatch;

    ShardState(String pool, long token) {
        mPool = pool;
        mToken = token;
    }

    /** Returns the task with the name, or null if there is none. */
    TaskEntry task(String name) {
        TaskId id = TaskId.parse(name).orElse(null);
        JobEntry job = id == null ? null : mJobs.get(id.job());
        return job == null ? null : job.task(id);
    }

    /** Adds a job, or replaces the one with the same id. */
    void add(JobEntry job) {
        mJobs.put(job.mId, job);
        if (!job.mState.isFinal()) {
            mActiveJobs.put(job.mId, job);
        }
        mNeedsDispatch = true;
    }

    /** Adds a minion that may run tasks of an earlier owner. */
    void addInheritedMinion(MinionInfo info, long nowNanos) {
        MinionSession session = new MinionSession(info);
        session.mIsRecorded = true;
        session.mIsRegistered = false;
        session.mUnregisteredNanos = nowNanos;
        mMinions.put(info.id(), session);
        mUnreconciledMinions.add(info.id());
    }

    /** Returns whether a registration is of an incarnation that was terminated by order. */
    boolean isTerminated(MinionInfo info) {
        Long terminatedMillis = mTerminatedMinions.get(info.id());
        return terminatedMillis != null && info.bornMillis() <= terminatedMillis;
    }

    /** Returns whether a minion that has not answered may still run tasks of an earlier owner. */
    boolean mayRunInheritedTasks(String minion, long nowNanos) {
        return mUnreconciledMinions.contains(minion) && nowNanos - mInheritedLeaseEndNanos < 0;
    }

    /** Returns whether a task may have a run of an earlier owner that this owner does not know. */
    boolean mayHaveUnseenRun(TaskEntry task, long nowNanos) {
        return task.mIsInherited
                && !mUnreconciledMinions.isEmpty()
                && nowNanos - mInheritedLeaseEndNanos < 0;
    }
}
