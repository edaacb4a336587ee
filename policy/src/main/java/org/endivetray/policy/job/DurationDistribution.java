package org.endivetray.policy.job;

import org.HdrHistogram.ShortCountsHistogram;

/**
 * The distribution of the latest durations of one kind of task, which may have a heavy tail.
 *
 * <p>Invariants: at least the last {@value #WINDOW} durations count, and at most twice as many.
 *
 * <p>This class is not thread-safe.
 */
final class DurationDistribution {
    private static final int WINDOW = 100;

    /** Precision of the recorded durations, in decimal digits. */
    private static final int PRECISION_DIGITS = 2;

    private static final double MAX_PERCENTILE = 100;
    private static final double MEDIAN = 0.5;

    /** Share of the durations that end within the late estimate. */
    private static final double LATE = 0.9;

    /** Holds the durations that count. */
    private ShortCountsHistogram mCounted = new ShortCountsHistogram(PRECISION_DIGITS);

    /** Holds those of the last window only, and replaces the other when that one is full. */
    private ShortCountsHistogram mNext = new ShortCountsHistogram(PRECISION_DIGITS);

    /** Adds a duration, in milliseconds, 0 or more. */
    void add(long millis) {
        mCounted.recordValue(millis);
        if (mCounted.getTotalCount() > WINDOW) {
            mNext.recordValue(millis);
        }
        if (mCounted.getTotalCount() == 2 * WINDOW) {
            mCounted = mNext;
            mNext = new ShortCountsHistogram(PRECISION_DIGITS);
        }
    }

    /**
     * Returns the duration that a share of the tasks does not exceed, in milliseconds.
     *
     * @param share the share, from 0 to 1
     */
    long quantileMillis(double share) {
        return mCounted.getValueAtPercentile(share * MAX_PERCENTILE);
    }

    /**
     * Returns the time that a task of an age still needs, from the durations above that age; as
     * long again if there is none.
     */
    TimeEstimate remaining(long ageMillis) {
        if (ageMillis >= mCounted.getMaxValue()) {
            long rest = Math.max(1, ageMillis);
            return new TimeEstimate(rest, 2 * rest);
        }
        double below =
                ageMillis == 0
                        ? 0
                        : mCounted.getPercentileAtOrBelowValue(ageMillis) / MAX_PERCENTILE;
        long median = quantileMillis(below + (1 - below) * MEDIAN) - ageMillis;
        long late = quantileMillis(below + (1 - below) * LATE) - ageMillis;
        return new TimeEstimate(Math.max(1, median), Math.max(1, late));
    }
}
