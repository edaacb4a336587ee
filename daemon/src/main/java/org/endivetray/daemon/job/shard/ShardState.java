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
    final Set<String> mEarlyCancellations = new HashSet<>();

    /** Minions that may run tasks of an earlier owner and have not been asked yet. */
    final Set<String> mUnreconciledMinions = new HashSet<>();

    /** Time after which nothing of an earlier owner can run on a minion that was not reached. */
    long mInheritedLeaseEndNanos;

    /** Minions that ended by order, with their incarnation; their registrations may linger. */
    final Map<String, Long> mTerminatedMinions = new HashMap<>();

    boolean mNeedsDispatch;

    ShardState(String pool, long token) {
        mPool = pool;
        mToken = token;
    }

    /** Returns the task with the name, or null if none is known. */
    TaskEntry task(String name) {
        TaskId id = TaskId.parse(name).orElse(null);
        JobEntry job = id == null ? null : mJobs.get(id.job());
        return job == null ? null : job.task(id);
    }

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

    /** Returns whether a registration is of an incarnation that ended by order. */
    boolean isTerminated(MinionInfo info) {
        Long born = mTerminatedMinions.get(info.id());
        return born != null && info.bornMillis() <= born;
    }

    /** Returns whether a minion that was not reached may still run tasks of an earlier owner. */
    boolean mayRunInheritedTasks(String minion, long nowNanos) {
        return mUnreconciledMinions.contains(minion) && nowNanos - mInheritedLeaseEndNanos < 0;
    }

    /** Returns whether tasks of an earlier owner may still run where this owner cannot see them. */
    boolean mayHaveUnseenRun(TaskEntry task, long nowNanos) {
        return task.mIsInherited
                && !mUnreconciledMinions.isEmpty()
                && nowNanos - mInheritedLeaseEndNanos < 0;
    }
}
