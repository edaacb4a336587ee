package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivetray.daemon.job.record.StoredMinions;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.StepSpec;
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

    /**
     * Runs of earlier owners that are not known yet. The end of their leases must be set before
     * minions are added.
     */
    final InheritedRuns mInheritedRuns = new InheritedRuns();

    /** Minions that were terminated by order; their registrations may remain for a time. */
    final Map<String, TerminatedMinion> mTerminatedMinions = new HashMap<>();

    boolean mNeedsDispatch;

    /** Whether a minion needs a higher token than any that the store has confirmed so far. */
    boolean mNeedsToken;

    /** Highest token of a start to a minion that is no longer known, 0 if there was none. */
    private long mRemovedStartToken;

    private final MemoryUse mMemory;

    /** Number of jobs by queue, with those that are being stored, of the queues that have any. */
    private final Map<String, Integer> mJobsPerQueue = new HashMap<>();

    private boolean mIsLost;

    ShardState(String pool, long token, MemoryUse memory) {
        mPool = pool;
        mToken = token;
        mMemory = memory;
    }

    /**
     * Returns the task with the name, or null if there is none or its occurrence has ended. Loads
     * its occurrence if necessary, since an earlier owner may have started the task.
     */
    TaskEntry task(String name) {
        TaskId id = TaskId.parse(name).orElse(null);
        JobEntry job = id == null ? null : mJobs.get(id.job());
        if (job == null || !job.mStored.spec().hasTask(id)) {
            return null;
        }
        if (job.mayLoad(id.occurrence())) {
            load(job, id.occurrence());
        }
        OccurrenceEntry occurrence = job.loadedOccurrence(id.occurrence());
        return occurrence == null ? null : occurrence.task(id.step(), id.index());
    }

    /** Returns the step of the task with a name, empty if its job is not known. */
    Optional<StepSpec> needsOf(String name) {
        return TaskId.parse(name)
                .filter(
                        id ->
                                mJobs.containsKey(id.job())
                                        && mJobs.get(id.job()).mStored.spec().hasTask(id))
                .map(id -> mJobs.get(id.job()).mStored.spec().steps().get(id.step()));
    }

    /** Returns the client account of the task with a name, empty if its job is not known. */
    String accountOf(String name) {
        return TaskId.parse(name)
                .map(id -> mJobs.get(id.job()))
                .map(job -> job.mStored.account())
                .orElse(ClientAccount.NONE);
    }

    /** Loads an occurrence of a job, which must allow it. */
    void load(JobEntry job, int number) {
        job.load(number);
        countTasks(job, job.tasksPerOccurrence());
    }

    /** Removes an occurrence from memory. */
    void unload(OccurrenceEntry occurrence) {
        JobEntry job = occurrence.mJob;
        if (job.unload(occurrence)) {
            countTasks(job, -job.tasksPerOccurrence());
        }
    }

    /** Records that an occurrence is done once all its tasks are, and removes it from memory. */
    void unloadIfDone(OccurrenceEntry occurrence) {
        if (occurrence.mOpenTasks == 0) {
            occurrence.mJob.markDone(occurrence.mNumber);
            unload(occurrence);
        }
    }

    /** Removes a job. */
    void remove(JobEntry job) {
        mActiveJobs.remove(job.mId);
        if (mJobs.remove(job.mId, job)) {
            count(job, -1);
        }
    }

    /** Marks the shard as lost, after which its jobs no longer count as held by the daemon. */
    void markLost() {
        for (JobEntry job : mJobs.values()) {
            count(job, -1);
        }
        mIsLost = true;
    }

    /** Returns whether the shard is lost, after which nothing may be ordered or written. */
    boolean isLost() {
        return mIsLost;
    }

    /** Returns the names of the queues that have jobs, or jobs that are being stored. */
    Set<String> queues() {
        return mJobsPerQueue.keySet();
    }

    /** Adds to the number of jobs of a queue, also of those that are being stored. */
    void countJobs(String queue, int sign) {
        mJobsPerQueue.merge(queue, sign, (jobs, more) -> jobs + more == 0 ? null : jobs + more);
    }

    private void count(JobEntry job, int sign) {
        countJobs(job.mStored.queue().name(), sign);
        countTasks(job, sign * job.loadedTasks());
        if (!mIsLost) {
            mMemory.addRecordBytes((long) sign * job.mRecordBytes);
        }
    }

    private void countTasks(JobEntry job, int tasks) {
        if (!mIsLost) {
            mMemory.addTasks(job.mStored.spec().isScheduled(), tasks);
        }
    }

    /** Adds a job, or replaces the one with the same id. */
    void add(JobEntry job) {
        JobEntry replaced = mJobs.get(job.mId);
        if (replaced != null) {
            remove(replaced);
        }
        count(job, 1);
        mJobs.put(job.mId, job);
        if (!job.mState.isFinal()) {
            mActiveJobs.put(job.mId, job);
        }
        mNeedsDispatch = true;
    }

    /** Adds the minions that may run tasks of an earlier owner. */
    void addInheritedMinions(StoredMinions stored, long nowNanos) {
        for (MinionInfo info : stored.open()) {
            addInheritedMinion(info, nowNanos).mIsRecorded = true;
            mInheritedRuns.addOpen(info.id());
        }
        for (StoredMinions.Closed closed : stored.closed()) {
            addInheritedMinion(closed.info(), nowNanos);
            mInheritedRuns.addClosed(closed.info().id(), closed.tasks());
        }
    }

    private MinionSession addInheritedMinion(MinionInfo info, long nowNanos) {
        MinionSession session = addMinion(info);
        session.mIsRegistered = false;
        session.mUnregisteredNanos = nowNanos;
        session.inheritLease(mInheritedRuns.leaseEndNanos());
        return session;
    }

    /** Adds a minion, which may be a later incarnation of one that was removed. */
    MinionSession addMinion(MinionInfo info) {
        MinionSession session = new MinionSession(info);
        session.mFence.raise(mToken);
        session.mFence.onNewIncarnation(mRemovedStartToken);
        mNeedsToken |= mRemovedStartToken > 0;
        mMinions.put(info.id(), session);
        return session;
    }

    /** Removes a minion. */
    void removeMinion(MinionSession session) {
        mMinions.remove(session.id());
        mRemovedStartToken = Math.max(mRemovedStartToken, session.mFence.startToken());
    }

    /** Returns whether a registration is of an incarnation that was terminated by order. */
    boolean isTerminated(MinionInfo info) {
        TerminatedMinion terminated = mTerminatedMinions.get(info.id());
        return terminated != null && info.bornMillis() <= terminated.incarnationMillis();
    }

    /** Returns whether a task may have a run of an earlier owner that this owner does not know. */
    boolean mayHaveUnseenRun(TaskEntry task, long nowNanos) {
        return task.mStep.mJob.mIsInherited && mInheritedRuns.mayInclude(task.mName, nowNanos);
    }

    /** Returns whether runs of earlier owners may exist that this owner does not know. */
    boolean mayHaveUnseenRuns(long nowNanos) {
        return mInheritedRuns.mayExist(nowNanos);
    }

    /**
     * An incarnation of a minion that was terminated by order.
     *
     * @param incarnationMillis its start, in milliseconds since 1970
     * @param terminatedNanos time of the monotonic clock at which this became known, in nanoseconds
     */
    record TerminatedMinion(long incarnationMillis, long terminatedNanos) {}
}
