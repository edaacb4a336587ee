package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.policy.job.AccountOrder;
import org.endivetray.policy.job.AccountUse;
import org.endivetray.policy.job.CompletionEstimate;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.Entitlements;

/**
 * Gives out the room of a pool to the steps of several client accounts in the order of {@link
 * AccountOrder}, and reports the accounts that wait behind their share.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class AccountDispatcher {
    private static final Logger LOGGER = System.getLogger(AccountDispatcher.class.getName());

    /** Time between two log lines about accounts. */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Part of its share below which an account with waiting tasks is behind it. */
    private static final double BEHIND_SHARE = 0.9;

    private final ShardContext mContext;
    private final ShardState mState;
    private final DurationModel mDurations;
    private final Entitlements mEntitlements = new Entitlements();
    private final AccountOrder<StepEntry> mOrder = new AccountOrder<>();
    private long mReportedNanos;
    private boolean mHasReported;

    AccountDispatcher(ShardContext context, ShardState state, DurationModel durations) {
        mContext = context;
        mState = state;
        mDurations = durations;
    }

    /** Starts tasks of a step. */
    interface TaskStarter {
        /** Starts tasks where there is room, and returns how many remain waiting. */
        int start(StepEntry step, int maxTasks);
    }

    /** Starts waiting tasks in the order among the accounts. */
    void run(List<Dispatcher.Candidate> candidates, TaskStarter starter, long nowNanos) {
        ClientAccounts accounts = mContext.accounts().get();
        countNewJobs(accounts);
        limitEntitlements(candidates);
        List<AccountOrder.Waiting<StepEntry>> waiting =
                candidates.stream().map(candidate -> waiting(candidate, accounts)).toList();
        waiting.forEach(each -> each.step().mJob.mIsStarved |= each.isStarved());
        long starvedCpuMillis = 0;
        AccountUse use = new AccountUse(sharedCpuMillis(nowNanos));
        waiting.stream()
                .filter(each -> each.rank().isFinite())
                .forEach(each -> use.activate(each.account(), weight(each.account(), accounts)));
        for (MinionSession minion : mState.mMinions.values()) {
            for (TaskEntry task : minion.tasks().values()) {
                if (!task.mStep.mSpec.longRunning()) {
                    String account = task.mStep.mJob.mStored.account();
                    use.activate(account, weight(account, accounts));
                    use.add(account, task.mStep.mSpec.reservedCpuMillis());
                    if (task.mStep.mJob.mIsStarved) {
                        starvedCpuMillis += task.mStep.mSpec.reservedCpuMillis();
                    }
                }
            }
        }
        mOrder.dispatch(
                waiting,
                use,
                mEntitlements,
                starvedCpuMillis,
                new AccountOrder.Starter<>() {
                    @Override
                    public int start(StepEntry step, int maxTasks) {
                        int before = step.mWaitingCount;
                        return before - starter.start(step, maxTasks);
                    }

                    @Override
                    public void onEntitled(StepEntry step) {
                        step.mJob.mIsEntitled = true;
                    }
                });
        report(waiting, use, nowNanos);
        mContext.metrics()
                .onWaitEstimate(
                        mState.mPool, waitEstimate(waiting, use.capacityCpuMillis(), nowNanos));
    }

    /**
     * Returns the estimate for a job that is submitted now and goes after all that waits.
     *
     * @param waiting the steps that were waiting before the dispatch, not null
     * @param sharedCpuMillis processors that are not taken by long-running tasks, in thousandths of
     *     a core
     */
    private CompletionEstimate waitEstimate(
            List<AccountOrder.Waiting<StepEntry>> waiting, long sharedCpuMillis, long nowNanos) {
        boolean isLearnt = true;
        double aheadCoreSeconds = 0;
        for (AccountOrder.Waiting<StepEntry> each : waiting) {
            StepEntry step = each.step();
            if (each.rank().isFinite() && step.mWaitingCount > 0) {
                isLearnt &= mDurations.isLearnt(step.kind());
                aheadCoreSeconds += step.mWaitingCount * coreSeconds(step);
            }
        }
        boolean isSteady = mState.mInheritedRuns.isReconciled();
        double usedCpuMillis = 0;
        double runningCoreSeconds = 0;
        for (MinionSession minion : mState.mMinions.values()) {
            isSteady &= !minion.mIsRegistered || minion.isSchedulable(nowNanos);
            for (TaskEntry task : minion.tasks().values()) {
                if (!task.mStep.mSpec.longRunning()) {
                    usedCpuMillis += task.mStep.mSpec.reservedCpuMillis();
                    // Running tasks have half of their duration left on average.
                    runningCoreSeconds += coreSeconds(task.mStep) / 2;
                }
            }
        }
        return CompletionEstimate.of(
                new CompletionEstimate.Pool(
                        sharedCpuMillis / 1e3,
                        (sharedCpuMillis - usedCpuMillis) / 1e3,
                        runningCoreSeconds,
                        aheadCoreSeconds,
                        isSteady),
                0,
                isLearnt);
    }

    /** Returns the expected work of a task of a step. */
    private double coreSeconds(StepEntry step) {
        long millis = mDurations.expectedMillis(step.kind(), step.mSpec.estimateMillis());
        return millis / 1e3 * step.mSpec.reservedCpuMillis() / 1e3;
    }

    private static double weight(String account, ClientAccounts accounts) {
        return accounts.account(account).map(ClientAccount::weight).orElse(0.0);
    }

    /** Counts the jobs that have been accepted or loaded since the last call. */
    private void countNewJobs(ClientAccounts accounts) {
        List<JobEntry> added = new ArrayList<>();
        for (JobEntry job : mState.mActiveJobs.values()) {
            if (!job.mIsCounted) {
                added.add(job);
            }
        }
        added.sort(Comparator.comparingLong(job -> job.mStored.acceptedMillis()));
        for (JobEntry job : added) {
            job.mIsCounted = true;
            String account = job.mStored.account();
            boolean isAdmitted =
                    mEntitlements.admit(
                            account, weight(account, accounts), job.mStored.acceptedMillis());
            boolean isBound =
                    account.equals(ClientAccount.NONE)
                            || job.hasStarted()
                            || job.mStored.spec().isScheduled();
            if (isAdmitted && isBound) {
                job.mIsEntitled = true;
            } else if (isAdmitted) {
                mEntitlements.add(account);
            }
        }
    }

    /** Removes the entitlements of jobs that were cancelled before they used them. */
    private void limitEntitlements(List<Dispatcher.Candidate> candidates) {
        Map<String, Integer> jobs = new HashMap<>();
        Set<JobEntry> counted = new HashSet<>();
        for (Dispatcher.Candidate candidate : candidates) {
            JobEntry job = candidate.step().mJob;
            if (candidate.rank().isFinite() && !job.mIsEntitled && counted.add(job)) {
                jobs.merge(job.mStored.account(), 1, Integer::sum);
            }
        }
        mEntitlements.limitTo(jobs);
    }

    private AccountOrder.Waiting<StepEntry> waiting(
            Dispatcher.Candidate candidate, ClientAccounts accounts) {
        StepEntry step = candidate.step();
        String account = step.mJob.mStored.account();
        return new AccountOrder.Waiting<>(
                step,
                step.mJob,
                account,
                accounts.account(account).map(ClientAccount::priority).orElse(0),
                step.mJob.mStored.queue().priority(),
                step.mJob.mIsEntitled,
                candidate.rank(),
                ageMillis(step, mContext.executor().nanoTime()),
                step.mSpec.reservedCpuMillis());
    }

    /** Returns the time since an occurrence was due, or since its job was accepted or loaded. */
    private long ageMillis(StepEntry step, long nowNanos) {
        JobEntry job = step.mJob;
        return job.mStored.spec().isScheduled()
                ? mContext.executor().currentTimeMillis() - job.dueMillis(step.mOccurrence.mNumber)
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - job.mAcceptedNanos);
    }

    /** Returns the processors that are not taken by long-running tasks. */
    private long sharedCpuMillis(long nowNanos) {
        long shared = 0;
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.isSchedulable(nowNanos)) {
                shared += minion.info().cpuMillis();
                for (TaskEntry task : minion.tasks().values()) {
                    if (task.mStep.mSpec.longRunning()) {
                        shared -= task.mStep.mSpec.reservedCpuMillis();
                    }
                }
            }
        }
        return Math.max(0, shared);
    }

    /** Records which accounts wait, and logs the one that is furthest behind its share. */
    private void report(
            List<AccountOrder.Waiting<StepEntry>> waiting, AccountUse use, long nowNanos) {
        Map<String, Integer> entitled = new HashMap<>();
        Map<String, Set<JobEntry>> candidates = new HashMap<>();
        int beyondRate = 0;
        for (AccountOrder.Waiting<StepEntry> each : waiting) {
            JobEntry job = each.step().mJob;
            int tasks = each.step().mWaitingCount;
            if (!each.rank().isFinite() || tasks == 0) {
                continue;
            }
            Set<JobEntry> jobs =
                    candidates.computeIfAbsent(each.account(), ignored -> new HashSet<>());
            if (!job.mIsEntitled && jobs.size() < mEntitlements.unused(each.account())) {
                jobs.add(job);
            }
            if (job.mIsEntitled || jobs.contains(job)) {
                entitled.merge(each.account(), tasks, Integer::sum);
            } else {
                beyondRate += tasks;
            }
        }
        String furthest = null;
        int behind = 0;
        for (String account : entitled.keySet()) {
            if (use.usedPart(account) < BEHIND_SHARE) {
                behind++;
                if (furthest == null || use.usedPart(account) < use.usedPart(furthest)) {
                    furthest = account;
                }
            }
        }
        mContext.metrics().onAccounts(mState.mPool, behind, beyondRate);
        boolean isDue = !mHasReported || nowNanos - mReportedNanos >= REPORT_NANOS;
        if (isDue && (behind > 0 || beyondRate > 0)) {
            mHasReported = true;
            mReportedNanos = nowNanos;
            LOGGER.log(
                    Level.INFO,
                    "account: waiting pool={0} behind={1} furthest={2} used={3} share={4}"
                            + " waiting={5} beyond-rate={6}",
                    mState.mPool,
                    Integer.toString(behind),
                    furthest == null ? "" : furthest,
                    Long.toString(furthest == null ? 0 : use.usedCpuMillis(furthest)),
                    Long.toString(furthest == null ? 0 : (long) use.shareCpuMillis(furthest)),
                    Integer.toString(furthest == null ? 0 : entitled.get(furthest)),
                    Integer.toString(beyondRate));
        }
    }
}
