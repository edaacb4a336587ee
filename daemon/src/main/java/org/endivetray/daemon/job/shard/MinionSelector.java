package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.StepSpec;
import org.endivetray.policy.job.DurationModel;

/**
 * Chooses the minion on which a task starts, and requests the tickets that it needs there.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionSelector {
    /** Most start orders in flight to one minion. */
    private static final int MAX_STARTS_IN_FLIGHT = 24;

    /** Most minions in one request to the placement advisor; small requests are answered sooner. */
    private static final int ADVICE_BATCH = 12;

    /** Subtracted from the validity of a ticket, since the start order takes time to arrive. */
    private static final long TICKET_MARGIN_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final NearPlaces mNearPlaces;

    MinionSelector(ShardContext context, ShardState state, DurationModel durations) {
        mContext = context;
        mState = state;
        mNearPlaces = new NearPlaces(context, state, durations);
    }

    /** Begins a pass of the dispatcher, in which steps are given in the order of their ranks. */
    void beginPass() {
        mNearPlaces.beginPass();
    }

    /** Returns the ticket with which a task of a step may start on a minion, empty if none. */
    static String ticket(StepEntry step, MinionSession minion, long nowNanos) {
        return step.mTickets == null ? "" : step.mTickets.ticket(minion.id(), nowNanos);
    }

    /**
     * Returns the minion on which to start a task of a step, null if there is none or if it waits
     * for a near one. A quarantined minion is chosen only for a long-running task that can run on
     * no other; the failures of other tasks are limited, so that those wait.
     */
    MinionSession choose(StepEntry step, long nowNanos) {
        MinionSession best = choose(step, nowNanos, false);
        boolean mayProbe = best == null && step.mSpec.longRunning();
        if (mayProbe && !hasSoundMinion(step, nowNanos)) {
            best = choose(step, nowNanos, true);
        }
        boolean waits = best != null && mNearPlaces.waits(step, best, nowNanos);
        if (best == null || waits) {
            mNearPlaces.onNotPlaced(step, waits, nowNanos);
            return null;
        }
        return best;
    }

    /** Records that a task of a step is certain to start on a minion, before it is assigned. */
    void onStarting(StepEntry step, MinionSession minion, long nowNanos) {
        mNearPlaces.onPlaced(step, minion, nowNanos);
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
                    boolean isNear = mNearPlaces.isNear(step, minion, nowNanos);
                    unrequested.add(isNear ? 0 : unrequested.size(), minion.id());
                }
                continue;
            }
            double score = score(step, minion, nowNanos);
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
        boolean mayStart =
                isProbe
                        ? minion.isAvailable(nowNanos)
                                && minion.mHealth.mayProbe(nowNanos)
                                && allows(step, minion)
                        : isSuitable(step, minion, nowNanos);
        return mayStart
                && minion.mStartsInFlight < MAX_STARTS_IN_FLIGHT
                && minion.room().fits(step.mSpec);
    }

    /** Returns whether a task of a step could be started on a minion now if it had room. */
    static boolean isSuitable(StepEntry step, MinionSession minion, long nowNanos) {
        return minion.isSchedulable(nowNanos) && allows(step, minion);
    }

    /** Returns whether a step allows one more of its tasks on a minion. */
    private static boolean allows(StepEntry step, MinionSession minion) {
        StepSpec spec = step.mSpec;
        return hasLabel(spec, minion)
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
     * lowest share. Any other task prefers near minions, then those with the lowest share.
     */
    private double score(StepEntry step, MinionSession minion, long nowNanos) {
        StepSpec spec = step.mSpec;
        double free =
                minion.room().freeCpuMillis() / (double) Math.max(1, minion.info().cpuMillis());
        if (spec.fills()) {
            return free - servingTasks(minion);
        }
        if (spec.servesRequests()) {
            return -servingTasks(minion) - free;
        }
        return (mNearPlaces.isNear(step, minion, nowNanos) ? 2 : 0) - free;
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
}
