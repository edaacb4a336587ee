package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.StepSpec;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.NearPlacePolicy;
import org.endivetray.policy.job.NearPlacePolicy.Decision;
import org.endivetray.policy.job.NearPlacePolicy.Facts;
import org.endivetray.policy.job.TimeEstimate;

/**
 * Says which minions are near for a step, and for how many of its tasks the dispatcher waits for a
 * near place although they could start away from it.
 *
 * <p>Near are the minions in the rack of the step's data, or, for a step whose tasks belong in one
 * rack, those in the rack of its first task.
 *
 * <p>Invariants: a waiting task reserves nothing; each pass of the dispatcher takes all decisions
 * anew, in the order of the steps' ranks.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class NearPlaces {
    private static final Logger LOGGER = System.getLogger(NearPlaces.class.getName());

    private static final double UNKNOWN = -1;

    private final ShardContext mContext;
    private final ShardState mState;
    private final DurationModel mDurations;
    private final PlaceForecast mForecast;

    /** Tasks in this pass that wait for each rack, of steps that went before. */
    private final Map<String, Integer> mWaitingPerRack = new HashMap<>();

    /** For how many of the tasks of a step this pass waits. */
    private final Map<StepEntry, Integer> mWaits = new IdentityHashMap<>();

    /** Rack in which this pass starts the tasks of a step that belong in one rack. */
    private final Map<StepEntry, String> mCommonRacks = new IdentityHashMap<>();

    /** Whether a step may wait in this pass, whatever is forecast. */
    private final Map<StepEntry, Boolean> mMayWait = new IdentityHashMap<>();

    /** Racks of the assigned tasks of a step that belong in one rack, as found in this pass. */
    private final Map<StepEntry, Racks> mRacks = new IdentityHashMap<>();

    /** Tasks in this pass for which no minion has room, of steps that went before. */
    private int mUnplaced;

    /** Share of the pool in use as the first step of this pass that may wait finds it. */
    private double mLoad = UNKNOWN;

    NearPlaces(ShardContext context, ShardState state, DurationModel durations) {
        mContext = context;
        mState = state;
        mDurations = durations;
        mForecast = new PlaceForecast(context, state, durations);
    }

    /** Begins a pass of the dispatcher. */
    void beginPass() {
        mWaitingPerRack.clear();
        mWaits.clear();
        mCommonRacks.clear();
        mMayWait.clear();
        mRacks.clear();
        mUnplaced = 0;
        mLoad = UNKNOWN;
        mForecast.beginPass();
    }

    private double load(long nowNanos) {
        if (mLoad == UNKNOWN) {
            mLoad = measureLoad(nowNanos);
        }
        return mLoad;
    }

    private double measureLoad(long nowNanos) {
        long used = 0;
        long capacity = 0;
        for (MinionSession minion : mState.mMinions.values()) {
            if (minion.isSchedulable(nowNanos)) {
                used += minion.room().usedCpuMillis();
                capacity += minion.info().cpuMillis();
            }
        }
        return capacity == 0 ? 1 : used / (double) capacity;
    }

    /** Returns whether a task of the step takes longer away than near its data or its step. */
    private static boolean hasNearRack(StepSpec spec) {
        return !spec.dataRack().isEmpty() || spec.sameRack();
    }

    /** Returns whether a task runs on a minion away from its data or from the rest of its step. */
    static boolean isAway(StepEntry step, MinionSession minion, ShardState state) {
        if (!isInDataRack(step.mSpec, minion)) {
            return true;
        }
        return step.mSpec.sameRack() && racksOf(step, state, false).size() > 1;
    }

    private static boolean isInDataRack(StepSpec spec, MinionSession minion) {
        return spec.dataRack().isEmpty() || minion.info().labels().contains(spec.dataRack());
    }

    /** Returns the racks on which tasks of a step are assigned, or have been if wanted. */
    private static Set<String> racksOf(StepEntry step, ShardState state, boolean onlyNow) {
        Set<String> racks = new HashSet<>();
        step.mCountPerMinion.forEach(
                (id, count) -> {
                    MinionSession minion = state.mMinions.get(id);
                    if (minion != null && (count > 0 || !onlyNow)) {
                        racks.add(minion.info().rack());
                    }
                });
        return racks;
    }

    /** The racks of the assigned tasks of a step after a number of changes of their places. */
    private record Racks(int changes, Set<String> names) {}

    /** Returns the racks on which tasks of a step are assigned now. */
    private Set<String> currentRacksOf(StepEntry step) {
        Racks known = mRacks.get(step);
        if (known == null || known.changes() != step.mPlaceChanges) {
            known = new Racks(step.mPlaceChanges, racksOf(step, mState, true));
            mRacks.put(step, known);
        }
        return known.names();
    }

    /** Returns whether a minion is near for a step; for a step that has no rack, all are. */
    boolean isNear(StepEntry step, MinionSession minion, long nowNanos) {
        StepSpec spec = step.mSpec;
        if (!spec.dataRack().isEmpty() || !spec.sameRack()) {
            return isInDataRack(spec, minion);
        }
        String rack = rackOf(step, nowNanos);
        return rack.isEmpty() || minion.info().rack().equals(rack);
    }

    /**
     * Returns the rack in which the tasks of a step are near, empty if there is none. Tasks that
     * belong in one rack and have none yet get the one that has places for all of them soonest.
     */
    private String rackOf(StepEntry step, long nowNanos) {
        if (!step.mSpec.dataRack().isEmpty()) {
            return step.mSpec.dataRack();
        }
        if (!step.mSpec.sameRack()) {
            return "";
        }
        Set<String> racks = currentRacksOf(step);
        if (racks.isEmpty()) {
            return mCommonRacks.computeIfAbsent(
                    step,
                    ignored -> mForecast.soonestRack(step, mayWait(step, nowNanos), nowNanos));
        }
        return racks.size() == 1 ? racks.iterator().next() : "";
    }

    /**
     * Returns whether a task of a step waits for a near place although it could start on a minion.
     * All tasks of a gang wait, or none of them.
     */
    boolean waits(StepEntry step, MinionSession best, long nowNanos) {
        StepSpec spec = step.mSpec;
        if (!hasNearRack(spec) || !mayWait(step, nowNanos)) {
            return false;
        }
        boolean isChosenForGang = spec.gang() && !currentRacksOf(step).isEmpty();
        if (isChosenForGang) {
            return false;
        }
        boolean isNear = isNear(step, best, nowNanos);
        if (isNear && !(spec.gang() && !hasPlacesForAll(step, nowNanos))) {
            return false;
        }
        Integer planned = mWaits.get(step);
        if (planned == null) {
            planned = plan(step, nowNanos);
            mWaits.put(step, planned);
        }
        return step.mWaitingCount <= planned;
    }

    /** Returns whether a step would wait for a place that is due at once; if not, it never does. */
    private boolean mayWait(StepEntry step, long nowNanos) {
        return mMayWait.computeIfAbsent(
                step,
                ignored -> {
                    // What is left to do after a checkpoint is not known.
                    boolean canWait =
                            !step.mSpec.longRunning()
                                    && mDurations.farFactor().value() > 1
                                    && step.mTasks.stream()
                                            .allMatch(task -> task.mCheckpoint.isEmpty());
                    Facts soonest = canWait ? facts(step, TimeEstimate.NOW, nowNanos) : null;
                    return canWait && NearPlacePolicy.decide(soonest).action().waits();
                });
    }

    /** Returns whether the rack of a step has places for all its waiting tasks now. */
    private boolean hasPlacesForAll(StepEntry step, long nowNanos) {
        return mForecast.hasPlacesNow(step, rackOf(step, nowNanos), step.mWaitingCount, nowNanos);
    }

    /** Returns the number of the waiting tasks of a step for which it pays to wait. */
    private int plan(StepEntry step, long nowNanos) {
        String rack = rackOf(step, nowNanos);
        if (rack.isEmpty()) {
            return 0;
        }
        int ahead = mUnplaced + mWaitingPerRack.getOrDefault(rack, 0);
        int count = step.mWaitingCount;
        List<TimeEstimate> places = mForecast.places(step, rack, ahead + count, nowNanos);
        int first = step.mSpec.gang() ? count : 1;
        int waiting = 0;
        for (int i = first; i <= count; i++) {
            Facts facts = facts(step, placeOf(places, ahead + i), nowNanos);
            Decision decision = NearPlacePolicy.decide(facts);
            if (!decision.action().waits()) {
                break;
            }
            waiting = i;
            if (step.mNearWaitNanos == 0) {
                onWaitBegun(step, rack, ahead, facts, decision, nowNanos);
            }
        }
        return waiting;
    }

    /** Returns when the place with a number, counted from 1, is free; null if that is not known. */
    private static TimeEstimate placeOf(List<TimeEstimate> places, int number) {
        return number <= places.size() ? places.get(number - 1) : null;
    }

    private Facts facts(StepEntry step, TimeEstimate place, long nowNanos) {
        return new Facts(
                mDurations.expectedNearMillis(step.kind(), step.mSpec.estimateMillis()),
                mDurations.farFactor().value(),
                place,
                step.mSlackMillis,
                waitedMillis(step, nowNanos),
                load(nowNanos),
                hasRuns(step.mJob));
    }

    private static boolean hasRuns(JobEntry job) {
        return job.loadedOccurrences().stream().anyMatch(each -> each.mAssignedTasks > 0);
    }

    private static long waitedMillis(StepEntry step, long nowNanos) {
        return step.mNearWaitNanos == 0
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - step.mNearWaitNanos);
    }

    /** Records that no minion was chosen for the waiting tasks of a step in this pass. */
    void onNotPlaced(StepEntry step, boolean waits, long nowNanos) {
        if (waits) {
            mWaitingPerRack.merge(rackOf(step, nowNanos), step.mWaitingCount, Integer::sum);
        } else {
            mUnplaced += step.mWaitingCount;
        }
    }

    private void onWaitBegun(
            StepEntry step, String rack, int ahead, Facts facts, Decision decision, long nowNanos) {
        step.mNearWaitNanos = nowNanos;
        mContext.metrics().onNearWaitBegun(mState.mPool);
        LOGGER.log(
                Level.INFO,
                "place: waiting for a near place step={0} rack={1} tasks={2} ahead={3} near={4}ms"
                        + " factor={5} due={6}ms late={7}ms slack={8}ms load={9} until={10}ms",
                step.mName,
                rack,
                Integer.toString(step.mWaitingCount),
                Integer.toString(ahead),
                Long.toString(facts.nearMillis()),
                Double.toString(facts.farFactor()),
                Long.toString(facts.place().expectedMillis()),
                Long.toString(facts.place().lateMillis()),
                Long.toString(facts.slackMillis()),
                String.format("%.2f", facts.load()),
                Long.toString(decision.untilMillis()));
    }

    /** Records the place of a task of a step, which ends a wait of the step for its last task. */
    void onPlaced(StepEntry step, MinionSession minion, long nowNanos) {
        boolean hasWaited = step.mNearWaitNanos != 0 && step.mNearWaitNanos != nowNanos;
        if (!hasWaited) {
            return;
        }
        long waited = waitedMillis(step, nowNanos);
        boolean isNear = isNear(step, minion, nowNanos);
        long gain = isNear ? facts(step, null, nowNanos).lossMillis() - waited : -waited;
        mContext.metrics().onNearWaitEnded(mState.mPool, isNear, gain);
        LOGGER.log(
                Level.INFO,
                "place: waited for a near place step={0} minion={1} near={2} waited={3}ms"
                        + " gain={4}ms",
                step.mName,
                minion.id(),
                Boolean.toString(isNear),
                Long.toString(waited),
                Long.toString(gain));
        if (step.mWaitingCount == 1) {
            step.mNearWaitNanos = 0;
        }
    }
}
