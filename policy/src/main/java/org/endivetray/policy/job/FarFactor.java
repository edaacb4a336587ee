package org.endivetray.policy.job;

/**
 * The factor by which a task takes longer away from its data, or from the other tasks of its step:
 * configured, or learnt from the durations of tasks that ran away.
 *
 * <p>Invariants: the value is at least 1; a factor that is not known yet is 1, so that no task
 * waits for a near place.
 *
 * <p>This class is not thread-safe.
 */
public final class FarFactor {
    /** Ratios from which a learnt factor is used. */
    private static final int MIN_RATIOS = 20;

    /** Lowest weight of a new ratio, so that about the last 100 count. */
    private static final double MIN_WEIGHT = 0.01;

    /** Highest ratio that counts, since single runs may be slow for other reasons. */
    private static final double MAX_RATIO = 8;

    private final double mConfigured;
    private int mRatios;
    private double mMeanRatio = 1;

    private FarFactor(double configured) {
        mConfigured = configured;
    }

    /** Returns a factor that is learnt. */
    public static FarFactor learnt() {
        return new FarFactor(0);
    }

    /**
     * Returns the configured factor, or one that is learnt if none is configured.
     *
     * @param factor the factor, 0 or less if none is configured
     */
    public static FarFactor configured(double factor) {
        return factor > 0 ? new FarFactor(Math.max(1, factor)) : learnt();
    }

    /**
     * Adds the duration of a task that ran away.
     *
     * @param ratio the duration, as a multiple of the expected duration near its data
     */
    public void onDoneAway(double ratio) {
        mRatios++;
        mMeanRatio +=
                (Math.min(ratio, MAX_RATIO) - mMeanRatio) * Math.max(MIN_WEIGHT, 1.0 / mRatios);
    }

    /** Returns whether the factor is configured or learnt from enough tasks. */
    public boolean isKnown() {
        return mConfigured > 0 || mRatios >= MIN_RATIOS;
    }

    /** Returns the factor, 1 if it is not known. */
    public double value() {
        if (mConfigured > 0) {
            return mConfigured;
        }
        return isKnown() ? Math.max(1, mMeanRatio) : 1;
    }
}
