package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.quota.QuotaManager;
import org.endivetray.daemon.job.quota.QuotaMember;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.Resources;
import org.endivetray.job.StepSpec;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.quota.QuotaPolicy;

/**
 * What the tasks of capped client accounts take and may still take in one pool.
 *
 * <p>Counted is every run that may exist: those that start, run or are being stopped, listed runs
 * that belong to no task, and, until all minions that an earlier owner may have used have answered
 * or their leases have expired, whatever that owner may have started.
 *
 * <p>Invariants: the tasks of an account start only while all that is counted stays within the
 * pool's share; the pool is settled only if the count that {@link #load} returns includes all runs
 * of earlier owners.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class AccountRoom implements QuotaMember {
    /**
     * Time for which the first tasks of a submitted job are expected, as long as several batches of
     * the store take.
     */
    private static final long SUBMISSION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after the end of an inherited job in which runs may exist that its owner stopped. */
    private static final long ENDED_MILLIS = TimeUnit.SECONDS.toMillis(30);

    /** Occurrences of a cancelled job that are taken to have overlapped. */
    private static final int MAX_OVERLAPPING = 4;

    private final ShardContext mContext;
    private final QuotaManager mQuotas;
    private final ShardState mState;
    private final Condition mOwner;
    private final Map<String, Usage> mUsages = new HashMap<>();
    private Map<String, AccountLoad> mBefore = Map.of();
    private boolean mIsActive;

    /** Whether the latest count was made with all runs of earlier owners known. */
    private boolean mIsSettled;

    /** The accounts of the configuration that was in force at the latest count. */
    private ClientAccounts mCountedAccounts;

    private int mBlockedTasks;

    /** What the available minions have free. */
    private Resources mFree = Resources.NONE;

    /** What an account takes and wants in the pool. */
    private static final class Usage {
        Resources mUsed = Resources.NONE;
        Resources mUnseen = Resources.NONE;
        Resources mWaiting = Resources.NONE;
        Resources mUnit = Resources.NONE;

        /** Room that is left free for a gang, so that smaller tasks do not keep it waiting. */
        Resources mReserved = Resources.NONE;

        Resources mExpected = Resources.NONE;
        long mExpectedUntilNanos;

        AccountLoad load(long nowNanos) {
            boolean isExpecting = nowNanos - mExpectedUntilNanos < 0;
            Resources waiting = isExpecting ? mWaiting.max(mExpected) : mWaiting;
            return new AccountLoad(mUsed, waiting, mUnit);
        }
    }

    AccountRoom(ShardContext context, ShardState state, Condition owner) {
        mContext = context;
        mQuotas = context.quotas();
        mState = state;
        mOwner = owner;
    }

    /** Starts to hold shares, once the stored state of the shard has been loaded. */
    void start() {
        mQuotas.add(this);
    }

    /** Stops to hold shares; they stay with the pool. */
    void stop() {
        mQuotas.remove(this);
    }

    /** Requests room ahead of need and returns what is not needed. */
    void tick(long nowNanos) {
        mQuotas.tick(nowNanos);
    }

    @Override
    public String pool() {
        return mState.mPool;
    }

    @Override
    public Condition owner() {
        return mOwner;
    }

    @Override
    public AccountLoad load(String account) {
        Usage usage = mUsages.get(account);
        return usage == null ? AccountLoad.NONE : usage.load(mContext.executor().nanoTime());
    }

    @Override
    public boolean isSettled() {
        return mIsSettled && mCountedAccounts == mQuotas.accounts();
    }

    /** Counts the runs, before tasks are dispatched. */
    void count(long nowNanos) {
        mIsActive = mQuotas.hasCaps();
        mIsSettled = mIsActive && !mState.mayHaveUnseenRuns(nowNanos);
        mCountedAccounts = mQuotas.accounts();
        if (!mIsActive) {
            mUsages.clear();
            return;
        }
        mBefore = new HashMap<>();
        mUsages.forEach((account, usage) -> mBefore.put(account, usage.load(nowNanos)));
        mBlockedTasks = 0;
        mUsages.values().removeIf(usage -> nowNanos - usage.mExpectedUntilNanos >= 0);
        for (Usage usage : mUsages.values()) {
            usage.mUsed = Resources.NONE;
            usage.mUnseen = Resources.NONE;
            usage.mWaiting = Resources.NONE;
            usage.mUnit = Resources.NONE;
            usage.mReserved = Resources.NONE;
        }
        mFree = Resources.NONE;
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.isAvailable(nowNanos)) {
                mFree = mFree.plus(minion.room().free());
            }
            for (TaskEntry task : minion.tasks().values()) {
                addUsed(task.mStep.mJob.mStored.account(), task.mStep.mSpec);
            }
            for (MinionRoom.Orphan orphan : minion.room().orphans()) {
                addUsed(orphan.account(), orphan.needs());
            }
        }
        if (mState.mayHaveUnseenRuns(nowNanos)) {
            mState.mJobs.values().forEach(job -> addUnseen(job, nowNanos));
        }
    }

    private Usage usage(String account) {
        return mUsages.computeIfAbsent(account, ignored -> new Usage());
    }

    private void addUsed(String account, StepSpec step) {
        if (mQuotas.isCapped(account)) {
            Usage usage = usage(account);
            usage.mUsed = usage.mUsed.plus(Resources.ofTask(step));
        }
    }

    /** Counts the runs of a job that an earlier owner may have started. */
    private void addUnseen(JobEntry job, long nowNanos) {
        String account = job.mStored.account();
        if (!job.mIsInherited || !mQuotas.isCapped(account)) {
            return;
        }
        Usage usage = usage(account);
        if (!job.mState.isFinal()) {
            for (OccurrenceEntry occurrence : job.loadedOccurrences()) {
                for (TaskEntry task : occurrence.tasks()) {
                    if (task.mPhase == TaskPhase.WAITING
                            && mState.mayHaveUnseenRun(task, nowNanos)) {
                        Resources needs = Resources.ofTask(task.mStep.mSpec);
                        usage.mUnseen = usage.mUnseen.plus(needs);
                    }
                }
            }
        } else if (job.mState != JobState.COMPLETED
                && isRecentlyEnded(job)
                && mState.mInheritedRuns.mayIncludeTaskOf(job.mId, nowNanos)) {
            int occurrences = job.mStored.spec().isScheduled() ? MAX_OVERLAPPING : 1;
            for (StepSpec step : job.mStored.spec().steps()) {
                Resources tasks = Resources.ofTask(step).times((long) step.count() * occurrences);
                usage.mUnseen = usage.mUnseen.plus(tasks);
            }
        }
    }

    private boolean isRecentlyEnded(JobEntry job) {
        long age = mContext.executor().currentTimeMillis() - job.mEndedMillis;
        return age < ENDED_MILLIS;
    }

    /**
     * Returns whether an account has room for tasks of a step.
     *
     * @param step the step, not null
     * @param tasks number of tasks that must start together
     */
    boolean mayStart(StepEntry step, int tasks) {
        String account = step.mJob.mStored.account();
        Resources cap = mIsActive ? mQuotas.cap(account) : null;
        if (cap == null) {
            return true;
        }
        Usage usage = usage(account);
        Resources need = QuotaPolicy.need(cap, Resources.ofTask(step.mSpec)).times(tasks);
        Resources taken = usage.mUsed.plus(usage.mUnseen).plus(usage.mReserved);
        Resources all = taken.limitedBy(cap).plus(need);
        return mQuotas.limit(account, pool()).covers(all);
    }

    /** Counts a task of a step that was started. */
    void onStarted(StepEntry step) {
        if (mIsActive) {
            addUsed(step.mJob.mStored.account(), step.mSpec);
        }
    }

    /**
     * Counts tasks of a step that wait only for room of their account.
     *
     * @param step the step, not null
     * @param tasks number of tasks
     * @param isGang whether they must start together
     */
    void onBlocked(StepEntry step, int tasks, boolean isGang) {
        String account = step.mJob.mStored.account();
        Resources cap = mQuotas.cap(account);
        Resources task = QuotaPolicy.need(cap, Resources.ofTask(step.mSpec));
        Resources unit = isGang ? task.times(tasks) : task;
        mBlockedTasks += tasks;
        if (cap.covers(unit)) {
            Usage usage = usage(account);
            // A pool does not ask for room that its minions cannot use.
            usage.mWaiting = usage.mWaiting.plus(task.times(tasks)).min(mFree);
            usage.mUnit = usage.mUnit.max(unit);
            usage.mReserved = isGang ? usage.mReserved.plus(unit) : usage.mReserved;
        }
    }

    /** Expects the first tasks of a job that is being stored, so that room is there in time. */
    void onSubmitted(String account, JobSpec spec) {
        if (!mQuotas.isCapped(account) || spec.isScheduled()) {
            return;
        }
        long now = mContext.executor().nanoTime();
        Usage usage = usage(account);
        Resources first = Resources.NONE;
        for (StepSpec step : spec.steps()) {
            if (step.after().isEmpty()) {
                first = first.plus(Resources.ofTask(step).times(step.count()));
            }
        }
        boolean isExpecting = now - usage.mExpectedUntilNanos < 0;
        usage.mExpected = isExpecting ? usage.mExpected.plus(first) : first;
        usage.mExpectedUntilNanos = now + SUBMISSION_NANOS;
        mQuotas.onLoadChanged(account);
        mQuotas.tick(now);
    }

    /** Notes the accounts whose tasks have changed, after tasks were dispatched. */
    void onDispatched(long nowNanos) {
        if (!mIsActive) {
            return;
        }
        mContext.metrics().onQuotaWaitingTasks(pool(), mBlockedTasks);
        mUsages.forEach(
                (account, usage) -> {
                    if (!usage.load(nowNanos).equals(mBefore.get(account))) {
                        mQuotas.onLoadChanged(account);
                    }
                });
        for (String account : mBefore.keySet()) {
            if (!mUsages.containsKey(account)) {
                mQuotas.onLoadChanged(account);
            }
        }
    }
}
