package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.ErrorBoundary;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.LatencyObjective;
import org.endivetray.policy.job.StepRank;

/**
 * Starts the waiting tasks that are ready, in the order of their rank, on the minions that {@link
 * MinionSelector} chooses.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class Dispatcher {
    private final ShardContext mContext;
    private final ShardState mState;
    private final TaskLifecycle mLifecycle;
    private final DurationModel mDurations;
    private final MinionSelector mMinions;
    private final AccountRoom mRoom;
    private final ErrorBoundary mBoundary;
    private final AccountDispatcher mAccounts;

    Dispatcher(
            ShardContext context,
            ShardState state,
            TaskLifecycle lifecycle,
            DurationModel durations,
            AccountRoom room,
            ErrorBoundary boundary) {
        mContext = context;
        mState = state;
        mLifecycle = lifecycle;
        mDurations = durations;
        mMinions = new MinionSelector(context, state, durations);
        mRoom = room;
        mBoundary = boundary;
        mAccounts = new AccountDispatcher(context, state, durations);
    }

    /** Starts the waiting tasks that are ready and for which a minion has room. */
    void run(long nowNanos) {
        long nowMillis = mContext.executor().currentTimeMillis();
        List<Candidate> candidates = new ArrayList<>();
        for (JobEntry job : mState.mActiveJobs.values()) {
            mBoundary.run("rank", () -> collect(job, nowNanos, nowMillis, candidates));
        }
        mRoom.count(nowNanos);
        mMinions.beginPass();
        if (mContext.accounts().get().isEnforced()) {
            mAccounts.run(
                    candidates, (step, maxTasks) -> tryPlace(step, maxTasks, nowNanos), nowNanos);
        } else {
            candidates.sort(Comparator.comparing(Candidate::rank));
            candidates.forEach(each -> tryPlace(each.step(), Integer.MAX_VALUE, nowNanos));
        }
        mRoom.onDispatched(nowNanos);
        int waiting = candidates.stream().mapToInt(each -> each.step().mWaitingCount).sum();
        mContext.metrics().onWaitingTasks(mState.mPool, waiting);
    }

    private void collect(
            JobEntry job, long nowNanos, long nowMillis, Collection<Candidate> candidates) {
        for (OccurrenceEntry occurrence : job.loadedOccurrences()) {
            for (StepEntry step : occurrence.mSteps) {
                if (step.mWaitingCount > 0 && occurrence.isReady(step, nowMillis)) {
                    candidates.add(new Candidate(step, rank(step, nowNanos, nowMillis)));
                }
            }
        }
    }

    /**
     * Returns the rank of a step. The latency objective of its job is a multiple of the critical
     * path plus the queue's target latency; the slack is the rest of it after the job's age and the
     * expected durations of the steps that are not done.
     */
    private StepRank rank(StepEntry step, long nowNanos, long nowMillis) {
        JobEntry job = step.mJob;
        List<StepEntry> steps = step.mOccurrence.mSteps;
        if (step.mSpec.longRunning()) {
            return StepRank.ofLongRunning(step.mSpec.fills(), job.mStored.queue().priority());
        }
        long[] endMillis = new long[steps.size()];
        long criticalPathMillis = 0;
        long remainingMillis = 0;
        double workCoreSeconds = 0;
        for (StepEntry each : steps) {
            long startMillis = 0;
            for (int predecessor : each.mSpec.after()) {
                startMillis = Math.max(startMillis, endMillis[predecessor]);
            }
            long expected = expectedMillis(each);
            endMillis[each.mNumber] = startMillis + expected;
            criticalPathMillis = Math.max(criticalPathMillis, endMillis[each.mNumber]);
            if (!each.isDone()) {
                remainingMillis += expected;
                workCoreSeconds +=
                        (each.mTasks.size() - each.mDoneCount)
                                * (expected / 1e3)
                                * (each.mSpec.cpuMillis() / 1e3);
            }
        }
        long ageMillis =
                job.mStored.spec().isScheduled()
                        ? nowMillis - job.dueMillis(step.mOccurrence.mNumber)
                        : TimeUnit.NANOSECONDS.toMillis(nowNanos - job.mAcceptedNanos);
        step.mSlackMillis =
                LatencyObjective.slackMillis(
                        job.mStored.queue().stretch(),
                        criticalPathMillis,
                        job.mStored.queue().targetLatencyMillis(),
                        ageMillis,
                        remainingMillis);
        return StepRank.of(step.mSlackMillis, remainingMillis, ageMillis, workCoreSeconds);
    }

    private long expectedMillis(StepEntry step) {
        return mDurations.expectedMillis(step.kind(), step.mSpec.estimateMillis());
    }

    /**
     * Starts the tasks of a step that can be started, up to a number unless they are a gang, and
     * returns how many remain waiting. An unexpected error does not keep other steps from starting.
     */
    private int tryPlace(StepEntry step, int maxTasks, long nowNanos) {
        Integer waiting = mBoundary.call("place", () -> place(step, maxTasks, nowNanos), null);
        return waiting == null ? step.mWaitingCount : waiting;
    }

    private int place(StepEntry step, int maxTasks, long nowNanos) {
        if (step.mSpec.gang()) {
            return placeGang(step, nowNanos);
        }
        int waiting = 0;
        int started = 0;
        boolean hasRoom = true;
        for (TaskEntry task : step.mTasks) {
            if (task.mPhase != TaskPhase.WAITING) {
                continue;
            }
            boolean mayStart = mayStart(task, nowNanos);
            MinionSession minion = hasRoom && mayStart ? mMinions.choose(step, nowNanos) : null;
            if (minion != null && !mRoom.mayStart(step, 1)) {
                // All other tasks of the step need as much.
                mRoom.onBlocked(step, countStartable(step, nowNanos), false);
                return step.mWaitingCount;
            }
            if (minion != null) {
                start(task, minion, nowNanos);
                started++;
                hasRoom = started < maxTasks;
            } else {
                waiting++;
                hasRoom &= !mayStart;
            }
        }
        return waiting;
    }

    private boolean mayStart(TaskEntry task, long nowNanos) {
        return task.mPhase == TaskPhase.WAITING
                && nowNanos - task.mNotBeforeNanos >= 0
                && !mState.mayHaveUnseenRun(task, nowNanos);
    }

    private int countStartable(StepEntry step, long nowNanos) {
        return (int) step.mTasks.stream().filter(task -> mayStart(task, nowNanos)).count();
    }

    /**
     * Starts the tasks of a gang step if all of them can be started now, and returns how many
     * remain waiting. All are started under the same run number and from the same checkpoint.
     */
    private int placeGang(StepEntry step, long nowNanos) {
        List<TaskEntry> waiting = new ArrayList<>();
        for (TaskEntry task : step.mTasks) {
            if (mayStart(task, nowNanos)) {
                waiting.add(task);
            }
        }
        if (waiting.size() < step.mTasks.size()) {
            return step.mWaitingCount;
        }
        List<MinionSession> chosen = new ArrayList<>();
        int run = 0;
        String checkpoint = "";
        try {
            for (TaskEntry task : waiting) {
                MinionSession minion = mMinions.choose(step, nowNanos);
                if (minion == null) {
                    break;
                }
                // Reserves the resources until all minions are chosen, so that none count twice.
                minion.assign(task);
                chosen.add(minion);
                run = Math.max(run, task.mRun);
                checkpoint = checkpoint.isEmpty() ? task.mCheckpoint : checkpoint;
            }
        } finally {
            for (int i = 0; i < chosen.size(); i++) {
                chosen.get(i).release(waiting.get(i));
            }
        }
        if (chosen.size() < waiting.size()) {
            return step.mWaitingCount;
        }
        if (!mRoom.mayStart(step, waiting.size())) {
            mRoom.onBlocked(step, waiting.size(), true);
            return step.mWaitingCount;
        }
        for (int i = 0; i < chosen.size(); i++) {
            TaskEntry task = waiting.get(i);
            task.mRun = run;
            task.setCheckpoint(checkpoint);
            start(task, chosen.get(i), nowNanos);
        }
        return 0;
    }

    private void start(TaskEntry task, MinionSession minion, long nowNanos) {
        StepEntry step = task.mStep;
        mRoom.onStarted(step);
        mMinions.onStarting(step, minion, nowNanos);
        mLifecycle.start(task, minion, MinionSelector.ticket(step, minion, nowNanos));
    }

    /** A step with waiting tasks, and its rank. */
    record Candidate(StepEntry step, StepRank rank) {}
}
