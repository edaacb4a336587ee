package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.StepSpec;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.PoolLoad;
import org.endivetray.policy.job.StepRank;

/**
 * Chooses which waiting tasks start next and on which minions.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class Dispatcher {
    /** Most starts under way at one minion. Below the connections to a minion. */
    private static final int MAX_STARTS_IN_FLIGHT = 24;

    /** Most minions named in one question to the placement advice. Few are answered sooner. */
    private static final int ADVICE_BATCH = 12;

    /** Taken off the validity of a ticket for the way of the order. */
    private static final long TICKET_MARGIN_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final TaskLifecycle mFlow;
    private final DurationModel mDurations;

    Dispatcher(
            ShardContext context, ShardState state, TaskLifecycle flow, DurationModel durations) {
        mContext = context;
        mState = state;
        mFlow = flow;
        mDurations = durations;
    }

    /** Starts what can be started. */
    void run(long nowNanos) {
        long nowMillis = mContext.calls().currentTimeMillis();
        List<Candidate> candidates = new ArrayList<>();
        for (JobEntry job : mState.mActiveJobs.values()) {
            collect(job, nowNanos, nowMillis, candidates);
        }
        candidates.sort(Comparator.comparing(Candidate::rank));
        int waiting = 0;
        for (Candidate candidate : candidates) {
            waiting += place(candidate.step(), nowNanos);
        }
        mContext.metrics().onWaitingTasks(mState.mPool, waiting);
    }

    private void collect(
            JobEntry job, long nowNanos, long nowMillis, Collection<Candidate> candidates) {
        for (List<StepEntry> steps : job.mOccurrences) {
            for (StepEntry step : steps) {
                if (step.mWaitingCount > 0 && job.isReady(step, nowMillis)) {
                    candidates.add(new Candidate(step, rank(step, steps, nowNanos, nowMillis)));
                }
            }
        }
    }

    private StepRank rank(StepEntry step, List<StepEntry> steps, long nowNanos, long nowMillis) {
        JobEntry job = step.mJob;
        long[] chains = new long[steps.size()];
        long whole = 0;
        long remaining = 0;
        double work = 0;
        for (StepEntry each : steps) {
            long before = 0;
            for (int earlier : each.mSpec.after()) {
                before = Math.max(before, chains[earlier]);
            }
            long expected = expectedMillis(each);
            chains[each.mNumber] = before + expected;
            whole = Math.max(whole, chains[each.mNumber]);
            if (!each.isDone()) {
                remaining += expected;
                work +=
                        (each.mTasks.size() - each.mDoneCount)
                                * (expected / 1e3)
                                * (each.mSpec.cpuMillis() / 1e3);
            }
        }
        long ageMillis =
                job.mStored.spec().isScheduled()
                        ? nowMillis - job.mStored.spec().dueMillis(step.mOccurrence)
                        : TimeUnit.NANOSECONDS.toMillis(nowNanos - job.mAcceptedNanos);
        long objective =
                Math.round(job.mStored.queue().stretch() * whole)
                        + job.mStored.queue().targetLatencyMillis();
        return StepRank.of(
                step.mSpec.longRunning(),
                step.mSpec.fills(),
                job.mStored.queue().priority(),
                objective - ageMillis - remaining,
                ageMillis,
                work);
    }

    private long expectedMillis(StepEntry step) {
        return mDurations.expectedMillis(step.kind(), step.mSpec.estimateMillis());
    }

    /** Starts tasks of a step and returns how many are left waiting. */
    private int place(StepEntry step, long nowNanos) {
        if (step.mSpec.gang()) {
            return placeGang(step, nowNanos);
        }
        int waiting = 0;
        boolean hasRoom = true;
        for (TaskEntry task : step.mTasks) {
            if (task.mPhase != TaskPhase.WAITING) {
                continue;
            }
            boolean mayStart =
                    nowNanos - task.mNotBeforeNanos >= 0
                            && !mState.mayHaveUnseenRun(task, nowNanos);
            MinionSession minion = hasRoom && mayStart ? choose(step, nowNanos) : null;
            if (minion != null) {
                mFlow.start(task, minion, ticket(step, minion, nowNanos));
            } else {
                waiting++;
                hasRoom &= !mayStart;
            }
        }
        return waiting;
    }

    private int placeGang(StepEntry step, long nowNanos) {
        List<TaskEntry> waiting = new ArrayList<>();
        for (TaskEntry task : step.mTasks) {
            boolean mayStart =
                    task.mPhase == TaskPhase.WAITING
                            && nowNanos - task.mNotBeforeNanos >= 0
                            && !mState.mayHaveUnseenRun(task, nowNanos);
            if (mayStart) {
                waiting.add(task);
            }
        }
        if (waiting.size() < step.mTasks.size()) {
            return step.mWaitingCount;
        }
        List<MinionSession> places = new ArrayList<>();
        int run = 0;
        String checkpoint = "";
        for (TaskEntry task : waiting) {
            MinionSession minion = choose(step, nowNanos);
            if (minion == null) {
                break;
            }
            minion.assign(task);
            places.add(minion);
            run = Math.max(run, task.mRun);
            checkpoint = checkpoint.isEmpty() ? task.mCheckpoint : checkpoint;
        }
        for (int i = 0; i < places.size(); i++) {
            places.get(i).release(waiting.get(i));
        }
        if (places.size() < waiting.size()) {
            return step.mWaitingCount;
        }
        for (int i = 0; i < places.size(); i++) {
            TaskEntry task = waiting.get(i);
            task.mRun = run;
            task.mCheckpoint = checkpoint;
            mFlow.start(task, places.get(i), ticket(step, places.get(i), nowNanos));
        }
        return 0;
    }

    private static String ticket(StepEntry step, MinionSession minion, long nowNanos) {
        return step.mTickets == null ? "" : step.mTickets.ticket(minion.id(), nowNanos);
    }

    private MinionSession choose(StepEntry step, long nowNanos) {
        boolean isAdvised =
                step.mJob.mStored.queue().placementAdvice() && mContext.advice() != null;
        if (isAdvised && step.mTickets == null) {
            step.mTickets = new PlacementTickets();
        }
        MinionSession best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        List<String> unasked = new ArrayList<>();
        for (MinionSession minion : mState.mMinions.values()) {
            if (!isEligible(step, minion, nowNanos)) {
                continue;
            }
            if (isAdvised && ticket(step, minion, nowNanos).isEmpty()) {
                if (!step.mTickets.wasRequested(minion.id())) {
                    unasked.add(minion.id());
                }
                continue;
            }
            double score = score(step, minion);
            if (score > bestScore) {
                best = minion;
                bestScore = score;
            }
        }
        if (best == null && isAdvised && !unasked.isEmpty() && !step.mTickets.isRequestPending()) {
            askAdvice(step, unasked.subList(0, Math.min(ADVICE_BATCH, unasked.size())));
        }
        return best;
    }

    private static boolean isEligible(StepEntry step, MinionSession minion, long nowNanos) {
        StepSpec spec = step.mSpec;
        return minion.isSchedulable(nowNanos)
                && minion.mStartsInFlight < MAX_STARTS_IN_FLIGHT
                && minion.fits(spec)
                && (spec.requiredLabel().isEmpty()
                        || minion.info().labels().contains(spec.requiredLabel()))
                && (spec.maxPerMinion() == 0 || step.countOn(minion) < spec.maxPerMinion());
    }

    /** Returns how well a minion suits a step; the fullest that still fits, near its data. */
    private static double score(StepEntry step, MinionSession minion) {
        StepSpec spec = step.mSpec;
        double free = minion.freeCpuMillis() / (double) Math.max(1, minion.info().cpuMillis());
        if (spec.fills()) {
            return free - servingTasks(minion);
        }
        if (spec.servesRequests()) {
            return -servingTasks(minion) - free;
        }
        boolean isNear =
                spec.dataRack().isEmpty() || minion.info().labels().contains(spec.dataRack());
        return (isNear ? 2 : 0) - free;
    }

    private static int servingTasks(MinionSession minion) {
        int serving = 0;
        for (TaskEntry task : minion.tasks().values()) {
            if (task.mStep.mSpec.servesRequests()) {
                serving++;
            }
        }
        return serving;
    }

    private void askAdvice(StepEntry step, List<String> minions) {
        List<String> asked = List.copyOf(minions);
        step.mTickets.onRequested(asked);
        mContext.calls()
                .onComplete(
                        mContext.advice().advise(step.mName, asked),
                        (advice, cause) -> {
                            if (cause != null) {
                                step.mTickets.onRequestFailed();
                            } else {
                                long valid = advice.validMillis() - TICKET_MARGIN_MILLIS;
                                step.mTickets.onResponse(
                                        advice.tickets(),
                                        mContext.calls().nanoTime()
                                                + TimeUnit.MILLISECONDS.toNanos(valid));
                            }
                            mState.mNeedsDispatch = true;
                        });
    }

    /** Returns how much the pool has to do. */
    PoolLoad poolLoad(long nowNanos) {
        long nowMillis = mContext.calls().currentTimeMillis();
        long waiting = 0;
        int wanted = 0;
        for (JobEntry job : mState.mActiveJobs.values()) {
            for (List<StepEntry> steps : job.mOccurrences) {
                for (StepEntry step : steps) {
                    if (step.mWaitingCount > 0 && job.isReady(step, nowMillis)) {
                        waiting += (long) step.mWaitingCount * step.mSpec.reservedCpuMillis();
                        wanted += step.mSpec.longRunning() ? minionsFor(step) : 0;
                    }
                }
            }
        }
        long used = 0;
        long total = 0;
        List<String> empty = new ArrayList<>();
        List<String> pinned = new ArrayList<>();
        for (MinionSession minion : mState.mMinions.values()) {
            used += minion.usedCpuMillis();
            total += minion.isSchedulable(nowNanos) ? minion.info().cpuMillis() : 0;
            if (minion.isKnownEmpty()) {
                empty.add(minion.id());
            }
            boolean isPinned =
                    minion.tasks().values().stream()
                            .anyMatch(task -> task.mStep.mSpec.longRunning());
            if (isPinned) {
                pinned.add(minion.id());
            }
        }
        return new PoolLoad(waiting, used, total, empty, pinned, wanted);
    }

    /** Returns the number of minions that the waiting tasks of a step need at least. */
    private static int minionsFor(StepEntry step) {
        int perMinion = Math.max(1, step.mSpec.maxPerMinion());
        return (step.mWaitingCount + perMinion - 1) / perMinion;
    }

    /** A step with waiting tasks. */
    private record Candidate(StepEntry step, StepRank rank) {}
}
