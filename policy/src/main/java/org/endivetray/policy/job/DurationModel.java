package org.endivetray.policy.job;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates how long tasks of each kind take from observed durations, since declared durations are
 * often far off.
 *
 * <p>The expected duration is that of the tasks as they were placed. Durations near the data of a
 * task are estimated from all as well: those observed away from it are divided by the factor by
 * which they are longer.
 *
 * <p>Invariants: an estimate from a declared duration is at least 1 millisecond and at most {@value
 * #MAX_DECLARED_DAYS} days, so that sums over the tasks of a pool do not overflow whatever callers
 * declare.
 *
 * <p>This class is not thread-safe.
 */
public final class DurationModel {
    /** Lowest weight of a new duration in the mean, so that about the last 50 durations count. */
    private static final double MIN_WEIGHT = 0.02;

    /** Number of observed durations from which their mean is used. */
    private static final int MIN_DURATIONS = 5;

    /** Longest declared duration that counts; callers declare more for one that is not known. */
    private static final long MAX_DECLARED_DAYS = 36_500;

    private static final long MAX_DECLARED_MILLIS = TimeUnit.DAYS.toMillis(MAX_DECLARED_DAYS);

    private final Map<String, Observed> mObserved = new HashMap<>();
    private final FarFactor mFarFactor;

    /** Constructs a model that learns the factor of durations away from the data. */
    public DurationModel() {
        this(FarFactor.learnt());
    }

    /**
     * Constructs a model.
     *
     * @param farFactor the factor of durations away from the data, not null
     */
    public DurationModel(FarFactor farFactor) {
        mFarFactor = farFactor;
    }

    /** Returns the factor by which durations are longer away from the data of a task. */
    public FarFactor farFactor() {
        return mFarFactor;
    }

    /**
     * Adds an observed duration.
     *
     * @param kind the kind of task, not null
     * @param millis the task's duration, in milliseconds
     * @param isAway whether the task ran away from its data
     */
    public void onDone(String kind, long millis, boolean isAway) {
        if (isAway && isLearntNear(kind)) {
            mFarFactor.onDoneAway(millis / Math.max(1, mObserved.get(kind).mNear.mMillis));
        }
        Observed observed = mObserved.computeIfAbsent(kind, ignored -> new Observed());
        observed.mPlaced.add(millis);
        if (!isAway) {
            observed.addNear(millis);
        } else if (mFarFactor.isKnown()) {
            observed.addNear(Math.round(millis / mFarFactor.value()));
        }
    }

    /** Returns whether enough durations of the kind have been observed to use their mean. */
    public boolean isLearnt(String kind) {
        Observed observed = mObserved.get(kind);
        return observed != null && observed.mPlaced.isLearnt();
    }

    /**
     * Returns the expected duration, in milliseconds: the observed mean if it is learnt, else the
     * declared duration.
     *
     * @param kind the kind of task, not null
     * @param declaredMillis the declared duration, in milliseconds
     */
    public long expectedMillis(String kind, long declaredMillis) {
        return isLearnt(kind)
                ? Math.max(1, Math.round(mObserved.get(kind).mPlaced.mMillis))
                : limitDeclared(declaredMillis);
    }

    private static long limitDeclared(long declaredMillis) {
        return Math.max(1, Math.min(MAX_DECLARED_MILLIS, declaredMillis));
    }

    /** Returns whether enough durations near the data have been observed to use their mean. */
    private boolean isLearntNear(String kind) {
        Observed observed = mObserved.get(kind);
        return observed != null && observed.mNear.isLearnt();
    }

    /**
     * Returns the expected duration near the data of a task, in milliseconds.
     *
     * @param kind the kind of task, not null
     * @param declaredMillis the declared duration, in milliseconds
     */
    public long expectedNearMillis(String kind, long declaredMillis) {
        return isLearntNear(kind)
                ? Math.max(1, Math.round(mObserved.get(kind).mNear.mMillis))
                : limitDeclared(declaredMillis);
    }

    /**
     * Returns the time that a task that runs near its data still needs, from the durations that are
     * longer than its age. A task that is older than all of them is expected to take as long again.
     *
     * @param kind the kind of task, not null
     * @param declaredMillis the declared duration, in milliseconds
     * @param ageMillis how long the task has been running, in milliseconds
     */
    public TimeEstimate remaining(String kind, long declaredMillis, long ageMillis) {
        long age = Math.max(0, ageMillis);
        if (isLearntNear(kind)) {
            return mObserved.get(kind).mNearDistribution.remaining(age);
        }
        long declared = limitDeclared(declaredMillis);
        long rest = Math.max(declared - age, age);
        return new TimeEstimate(rest, rest + declared);
    }

    /** What has been observed of one kind. */
    private static final class Observed {
        private final Mean mPlaced = new Mean();
        private final Mean mNear = new Mean();
        private final DurationDistribution mNearDistribution = new DurationDistribution();

        private void addNear(long millis) {
            mNear.add(millis);
            mNearDistribution.add(Math.max(0, millis));
        }
    }

    /** The arithmetic mean of the first durations, exponentially weighted afterwards. */
    private static final class Mean {
        private int mCount;
        private double mMillis;

        private void add(long millis) {
            mCount++;
            mMillis += (millis - mMillis) * Math.max(MIN_WEIGHT, 1.0 / mCount);
        }

        private boolean isLearnt() {
            return mCount >= MIN_DURATIONS;
        }
    }
}
