package org.endivetray.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long tasks of each kind take from observed durations, since declared durations are
 * often far off.
 *
 * <p>Invariants: an estimate is at least 1 millisecond.
 *
 * <p>This class is not thread-safe.
 */
public final class DurationModel {
    /** Lowest weight of a new duration in the mean, so that about the last 50 durations count. */
    private static final double MIN_WEIGHT = 0.02;

    /** Number of observed durations from which their mean is used. */
    private static final int MIN_DURATIONS = 5;

    private final Map<String, Mean> mMeans = new HashMap<>();

    /**
     * Adds an observed duration.
     *
     * @param kind the kind of task, not null
     * @param millis the task's duration, in milliseconds
     */
    public void onDone(String kind, long millis) {
        mMeans.computeIfAbsent(kind, ignored -> new Mean()).add(millis);
    }

    /** Returns whether enough durations of the kind have been observed to use their mean. */
    public boolean isLearnt(String kind) {
        Mean mean = mMeans.get(kind);
        return mean != null && mean.mCount >= MIN_DURATIONS;
    }

    /**
     * Returns the expected duration, in milliseconds: the observed mean if it is learnt, else the
     * declared duration.
     *
     * @param kind the kind of task, not null
     * @param declaredMillis the declared duration, in milliseconds
     */
    public long expectedMillis(String kind, long declaredMillis) {
        return Math.max(1, isLearnt(kind) ? Math.round(mMeans.get(kind).mMillis) : declaredMillis);
    }

    /** The arithmetic mean of the first durations, exponentially weighted afterwards. */
    private static final class Mean {
        private int mCount;
        private double mMillis;

        private void add(long millis) {
            mCount++;
            mMillis += (millis - mMillis) * Math.max(MIN_WEIGHT, 1.0 / mCount);
        }
    }
}
