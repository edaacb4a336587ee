package org.endivetray.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long tasks of a kind take, since declared durations are far off.
 *
 * <p>Invariants: an estimate is at least one millisecond.
 *
 * <p>This class is not thread-safe.
 */
public final class DurationModel {
    /** Weight of a new duration in the mean, once there are enough. Looks back some 50 tasks. */
    private static final double MIN_WEIGHT = 0.02;

    /** Number of durations from which the learnt mean is trusted. */
    private static final int MIN_DURATIONS = 5;

    private final Map<String, Mean> mMeans = new HashMap<>();

    /**
     * Takes note of a duration.
     *
     * @param kind the kind of task, not null
     * @param millis its duration, in milliseconds
     */
    public void onDone(String kind, long millis) {
        mMeans.computeIfAbsent(kind, ignored -> new Mean()).add(millis);
    }

    /** Returns whether enough durations of a kind are known to rely on their mean. */
    public boolean isLearnt(String kind) {
        Mean mean = mMeans.get(kind);
        return mean != null && mean.mCount >= MIN_DURATIONS;
    }

    /**
     * Returns the expected duration, in milliseconds.
     *
     * @param kind the kind of task, not null
     * @param declaredMillis what was declared, in milliseconds
     */
    public long expectedMillis(String kind, long declaredMillis) {
        return Math.max(1, isLearnt(kind) ? Math.round(mMeans.get(kind).mMillis) : declaredMillis);
    }

    /** A mean that follows slow changes. */
    private static final class Mean {
        private int mCount;
        private double mMillis;

        private void add(long millis) {
            mCount++;
            mMillis += (millis - mMillis) * Math.max(MIN_WEIGHT, 1.0 / mCount);
        }
    }
}
