package org.endivetray.policy.job;

/**
 * The share at which tasks that fill may work beside tasks that serve.
 *
 * <p>The share is cut at once when response times come near their target, and raised in small steps
 * while they are well below it.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class BestEffortThrottle {
    private static final int FULL_PERCENT = 100;

    /** Share of the target from which tasks that fill are slowed down. */
    private static final double LOWER_FROM_RATIO = 0.8;

    /** Share of the target below which they may work more. */
    private static final double RAISE_UP_TO_RATIO = 0.55;

    /** Raise of one step, in percent of a processor share. */
    private static final int RAISE_STEP_PERCENT = 10;

    private BestEffortThrottle() {}

    /**
     * Returns the next share, 0 to 100.
     *
     * @param percent the present share, 0 to 100
     * @param worstRatio highest tail beside it relative to its target
     */
    public static int nextPercent(int percent, double worstRatio) {
        if (worstRatio >= 1) {
            return 0;
        }
        if (worstRatio >= LOWER_FROM_RATIO) {
            return percent / 2;
        }
        if (worstRatio <= RAISE_UP_TO_RATIO) {
            return Math.min(FULL_PERCENT, percent + RAISE_STEP_PERCENT);
        }
        return percent;
    }
}
