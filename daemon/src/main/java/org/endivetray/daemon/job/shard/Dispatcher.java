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
    /** Most start orders in flight to one minion. */
    private static final int MAX_STARTS_IN_FLIGHT = 24;

    /** Most minions in one request to the placement advisor; small requests are answered sooner. */
    private static final int ADVICE_BATCH = 12;

    /** Subtracted from the validity of a ticket, since the start order takes time to arrive. */
    private static final long TICKET_MARGIN_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final TaskLifecycle mLifecycle;
    private final DurationModel mDurations;

    Dispatcher(
            ShardContext context,
            ShardState state,
            TaskLifecycle lifecycle,
            DurationModel durations) {
        mContext = context;
        mState = state;
        mLifecycle = lifecycle;
        mDurations = durations;
    }

    /** Starts the waiting tasks that are ready and for which a minion has room. */
    void run(long nowNanos) {
        long nowMillis = mContext.executor().currentTimeMillis();
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
        long objectiveMillis =
                Math.round(job.mStored.queue().stretch() * criticalPathMillis)
                        + job.mStored.queue().targetLatencyMillis();
        return StepRank.of(
                objectiveMillis - ageMillis - remainingMillis,
                remainingMillis,
                ageMillis,
                workCoreSeconds);
    }

    private long expectedMillis(StepEntry step) {
        return mDurations.expectedMillis(step.kind(), step.mSpec.estimateMillis());
    }

    /** Starts the tasks of a step that can be started and returns how many remain waiting. */
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
                mLifecycle.start(task, minion, ticket(step, minion, nowNanos));
            } else {
                waiting++;
                hasRoom &= !mayStart;
            }
        }
        return waiting;
    }

    /**
     * Starts the tasks of a gang step if all of them can be started now, and returns how many
     * remain waiting. All are started under the same run number and from the same checkpoint.
     */
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
        List<MinionSession> chosen = new ArrayList<>();
        int run = 0;
        String checkpoint = "";
        for (TaskEntry task : waiting) {
            MinionSession minion = choose(step, nowNanos);
            if (minion == null) {
                break;
            }
            // Reserves the resources until all minions are chosen, so that none are counted twice.
            minion.assign(task);
            chosen.add(minion);
            run = Math.max(run, task.mRun);
            checkpoint = checkpoint.isEmpty() ? task.mCheckpoint : checkpoint;
        }
        for (int i = 0; i < chosen.size(); i++) {
            chosen.get(i).release(waiting.get(i));
        }
        if (chosen.size() < waiting.size()) {
            return step.mWaitingCount;
        }
        for (int i = 0; i < chosen.size(); i++) {
            TaskEntry task = waiting.get(i);
            task.mRun = run;
            task.mCheckpoint = checkpoint;
            mLifecycle.start(task, chosen.get(i), ticket(step, chosen.get(i), nowNanos));
        }
        return 0;
    }

    private static String ticket(StepEntry step, MinionSession minion, long nowNanos) {
        return step.mTickets == null ? "" : step.mTickets.ticket(minion.id(), nowNanos);
    }

    /**
     * Returns the minion on which to start a task of a step, null if there is none. A quarantined
     * minion is chosen only for a long-running task that can run on no other; the failures of other
     * tasks are limited, so that those wait.
     */
    private MinionSession choose(StepEntry step, long nowNanos) {
        MinionSession best = choose(step, nowNanos, false);
        boolean mayProbe = best == null && step.mSpec.longRunning();
        return mayProbe && !hasSoundMinion(step, nowNanos) ? choose(step, nowNanos, true) : best;
    }

    /** Returns whether a step can run on a minion that is not in quarantine, now or later. */
    private boolean hasSoundMinion(StepEntry step, long nowNanos) {
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.mIsRegistered
                    && !minion.mHealth.isQuarantined(nowNanos)
                    && hasLabel(step.mSpec, minion)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the best of the sound or of the quarantined minions for a task of a step, null if
     * there is none. Requests tickets if only minions without a ticket are eligible.
     */
    private MinionSession choose(StepEntry step, long nowNanos, boolean isProbe) {
        boolean isAdvised =
                step.mJob.mStored.queue().placementAdvice() && mContext.advisor() != null;
        if (isAdvised && step.mTickets == null) {
            step.mTickets = new PlacementTickets();
        }
        MinionSession best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        List<String> unrequested = new ArrayList<>();
        for (MinionSession minion : mState.mMinions.values()) {
            if (!isEligible(step, minion, nowNanos, isProbe)) {
                continue;
            }
            if (isAdvised && ticket(step, minion, nowNanos).isEmpty()) {
                if (!step.mTickets.wasRequested(minion.id())) {
                    unrequested.add(minion.id());
                }
                continue;
            }
            double score = score(step, minion);
            if (score > bestScore) {
                best = minion;
                bestScore = score;
            }
        }
        if (best == null
                && isAdvised
                && !unrequested.isEmpty()
                && !step.mTickets.isRequestPending()) {
            requestTickets(
                    step, unrequested.subList(0, Math.min(ADVICE_BATCH, unrequested.size())));
        }
        return best;
    }

    private static boolean isEligible(
            StepEntry step, MinionSession minion, long nowNanos, boolean isProbe) {
        StepSpec spec = step.mSpec;
        boolean mayStart =
                isProbe
                        ? minion.isAvailable(nowNanos) && minion.mHealth.mayProbe(nowNanos)
                        : minion.isSchedulable(nowNanos);
        return mayStart
                && minion.mStartsInFlight < MAX_STARTS_IN_FLIGHT
                && minion.fits(spec)
                && hasLabel(spec, minion)
                && (spec.maxPerMinion() == 0 || step.countOn(minion) < spec.maxPerMinion());
    }

    private static boolean hasLabel(StepSpec spec, MinionSession minion) {
        return spec.requiredLabel().isEmpty()
                || minion.info().labels().contains(spec.requiredLabel());
    }

    /**
     * Returns the score of a minion for a step; the minion with the highest score is chosen.
     *
     * <p>A best-effort task prefers minions with few serving tasks, then those with the highest
     * share of free CPU. A serving task prefers minions with few serving tasks, then those with the
     * lowest share. Any other task prefers minions in the rack of its data, then those with the
     * lowest share.
     */
    private static double score(StepEntry step, MinionSession minion) {
        StepSpec spec = step.mSpec;
        double free = minion.freeCpuMillis() / (double) Math.max(1, minion.info().cpuMillis());
        if (spec.fills()) {
            return free - servingTasks(minion);
        }
        if (spec.servesRequests()) {
            return -servingTasks(minion) - free;
        }
        boolean isNearData =
                spec.dataRack().isEmpty() || minion.info().labels().contains(spec.dataRack());
        return (isNearData ? 2 : 0) - free;
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

    private void requestTickets(StepEntry step, List<String> minions) {
        List<String> requested = List.copyOf(minions);
        step.mTickets.onRequested(requested);
        mContext.executor()
                .onComplete(
                        mContext.advisor().advise(step.mName, requested),
                        (advice, cause) -> {
                            if (cause != null) {
                                step.mTickets.onRequestFailed();
                            } else {
                                long valid = advice.validMillis() - TICKET_MARGIN_MILLIS;
                                step.mTickets.onResponse(
                                        advice.tickets(),
                                        mContext.executor().nanoTime()
                                                + TimeUnit.MILLISECONDS.toNanos(valid));
                            }
                            mState.mNeedsDispatch = true;
                        });
    }

    /** Returns the load of the pool. */
    PoolLoad poolLoad(long nowNanos) {
        long nowMillis = mContext.executor().currentTimeMillis();
        long waiting = 0;
        int wantedMinions = 0;
        for (JobEntry job : mState.mActiveJobs.values()) {
            for (OccurrenceEntry occurrence : job.loadedOccurrences()) {
                for (StepEntry step : occurrence.mSteps) {
                    if (step.mWaitingCount > 0 && occurrence.isReady(step, nowMillis)) {
                        waiting += (long) step.mWaitingCount * step.mSpec.reservedCpuMillis();
                        wantedMinions += step.mSpec.longRunning() ? minionsFor(step) : 0;
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
        return new PoolLoad(waiting, used, total, empty, pinned, wantedMinions);
    }

    /**
     * Returns the number of minions that the waiting tasks of a step need; a step without a limit
     * per minion counts as limited to one task.
     */
    private static int minionsFor(StepEntry step) {
        int perMinion = Math.max(1, step.mSpec.maxPerMinion());
        return (step.mWaitingCount + perMinion - 1) / perMinion;
    }

    /** A step with waiting tasks, and its rank. */
    private record Candidate(StepEntry step, StepRank rank) {}
}
