package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.StepSpec;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.TimeEstimate;

/**
 * Expects when the minions of a rack have places for the tasks of a step, from the ends that are
 * due on them.
 *
 * <p>Only minions count on which tasks of the step could be started now if they had room: not those
 * that are draining, in quarantine, without the required label or without a ticket.
 *
 * <p>Invariants: in one pass of the dispatcher, the ends due on a minion are forecast at most once
 * for each set of tasks that is assigned to it.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PlaceForecast {
    private static final Comparator<TimeEstimate> BY_TIME =
            Comparator.comparingLong(TimeEstimate::expectedMillis);

    private final ShardContext mContext;
    private final ShardState mState;
    private final DurationModel mDurations;

    /** The ends due on each minion, as forecast in this pass. */
    private final Map<MinionSession, DueEnds> mDueEnds = new IdentityHashMap<>();

    PlaceForecast(ShardContext context, ShardState state, DurationModel durations) {
        mContext = context;
        mState = state;
        mDurations = durations;
    }

    /** Begins a pass of the dispatcher. */
    void beginPass() {
        mDueEnds.clear();
    }

    /** A run that is due to end; none for the resources that are free now. */
    private record DueEnd(StepSpec spec, TimeEstimate time) {
        private static final DueEnd NONE = new DueEnd(null, TimeEstimate.NOW);
    }

    /** The ends due on a minion after a number of changes of its tasks. */
    private record DueEnds(int changes, List<DueEnd> ends) {}

    /**
     * Returns when the places in a rack are free, soonest first; those that are free now count.
     *
     * @param limit highest number of places that matters
     */
    List<TimeEstimate> places(StepEntry step, String rack, int limit, long nowNanos) {
        List<TimeEstimate> places = new ArrayList<>();
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.info().labels().contains(rack)
                    && MinionSelector.isSuitable(step, minion, nowNanos)
                    && hasTicket(step, minion, nowNanos)) {
                addPlaces(step, minion, limit, dueEnds(minion, nowNanos), places);
            }
        }
        places.sort(BY_TIME);
        return places;
    }

    /** Returns whether a rack has a number of places for the tasks of a step now. */
    boolean hasPlacesNow(StepEntry step, String rack, int count, long nowNanos) {
        List<TimeEstimate> places = new ArrayList<>();
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.info().labels().contains(rack)
                    && MinionSelector.isSuitable(step, minion, nowNanos)
                    && hasTicket(step, minion, nowNanos)) {
                addPlaces(step, minion, count, List.of(DueEnd.NONE), places);
            }
        }
        return places.size() >= count;
    }

    private boolean hasTicket(StepEntry step, MinionSession minion, long nowNanos) {
        boolean isAdvised =
                step.mJob.mStored.queue().placementAdvice() && mContext.advisor() != null;
        return !isAdvised || !MinionSelector.ticket(step, minion, nowNanos).isEmpty();
    }

    private void addPlaces(
            StepEntry step,
            MinionSession minion,
            int limit,
            List<DueEnd> ends,
            List<TimeEstimate> places) {
        StepSpec spec = step.mSpec;
        int most =
                spec.maxPerMinion() == 0
                        ? limit
                        : Math.min(limit, spec.maxPerMinion() - step.countOn(minion));
        int found = 0;
        int cpuMillis = 0;
        int memoryMb = 0;
        int gpus = 0;
        TimeEstimate time = TimeEstimate.NOW;
        for (DueEnd end : ends) {
            cpuMillis += end.spec() == null ? 0 : end.spec().reservedCpuMillis();
            memoryMb += end.spec() == null ? 0 : end.spec().memoryMb();
            gpus += end.spec() == null ? 0 : end.spec().gpus();
            time = time.and(end.time());
            int fitting =
                    Math.min(most, minion.room().countThatFit(spec, cpuMillis, memoryMb, gpus));
            for (; found < fitting; found++) {
                places.add(time);
            }
            if (found >= most) {
                return;
            }
        }
    }

    /** Returns the ends that are due on a minion, soonest first, after one that frees nothing. */
    private List<DueEnd> dueEnds(MinionSession minion, long nowNanos) {
        DueEnds known = mDueEnds.get(minion);
        if (known == null || known.changes() != minion.taskChanges()) {
            known = new DueEnds(minion.taskChanges(), forecastEnds(minion, nowNanos));
            mDueEnds.put(minion, known);
        }
        return known.ends();
    }

    private List<DueEnd> forecastEnds(MinionSession minion, long nowNanos) {
        mContext.metrics().onPlaceForecast(mState.mPool);
        List<DueEnd> ends = new ArrayList<>();
        ends.add(DueEnd.NONE);
        for (TaskEntry task : minion.tasks().values()) {
            if (!task.mStep.mSpec.longRunning()) {
                ends.add(new DueEnd(task.mStep.mSpec, remaining(task, minion, nowNanos)));
            }
        }
        ends.sort(Comparator.comparing(DueEnd::time, BY_TIME));
        return ends;
    }

    private TimeEstimate remaining(TaskEntry task, MinionSession minion, long nowNanos) {
        StepEntry step = task.mStep;
        double factor =
                NearPlaces.isAway(step, minion, mState) ? mDurations.farFactor().value() : 1;
        long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - task.mStartSentNanos);
        return mDurations
                .remaining(step.kind(), step.mSpec.estimateMillis(), Math.round(age / factor))
                .times(factor);
    }

    /**
     * Returns the rack that has places for all waiting tasks of a step soonest, empty if no rack
     * ever has. Of racks that have them now, it is the one with the fewest.
     *
     * @param mayWait whether the step may wait; if not, only places that are free now count and
     *     nothing is forecast
     */
    String soonestRack(StepEntry step, boolean mayWait, long nowNanos) {
        int count = step.mWaitingCount;
        String best = "";
        long soonest = Long.MAX_VALUE;
        int fewest = Integer.MAX_VALUE;
        for (var rack : placesPerRack(step, mayWait, nowNanos).entrySet()) {
            List<TimeEstimate> places = rack.getValue();
            if (rack.getKey().isEmpty() || places.size() < count) {
                continue;
            }
            places.sort(BY_TIME);
            long time = places.get(count - 1).expectedMillis();
            if (time < soonest || time == soonest && places.size() < fewest) {
                best = rack.getKey();
                soonest = time;
                fewest = places.size();
            }
        }
        return best;
    }

    private Map<String, List<TimeEstimate>> placesPerRack(
            StepEntry step, boolean mayWait, long nowNanos) {
        Map<String, List<TimeEstimate>> racks = new LinkedHashMap<>();
        for (MinionSession minion : mState.mMinions.values()) {
            if (MinionSelector.isSuitable(step, minion, nowNanos)
                    && hasTicket(step, minion, nowNanos)) {
                List<DueEnd> ends = mayWait ? dueEnds(minion, nowNanos) : List.of(DueEnd.NONE);
                List<TimeEstimate> places =
                        racks.computeIfAbsent(minion.info().rack(), ignored -> new ArrayList<>());
                addPlaces(step, minion, step.mWaitingCount, ends, places);
            }
        }
        return racks;
    }
}
