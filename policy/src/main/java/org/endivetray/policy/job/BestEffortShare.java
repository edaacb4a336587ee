package org.endivetray.policy.job;

/**
 * Computes the processor share of best-effort tasks that run beside tasks with a response time
 * target.
 *
 * <p>The share is halved when response times come near their target and set to 0 once they reach
 * it; it is raised in small steps while they are well below it.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class BestEffortShare {
    private static final int FULL_PERCENT = 100;

    /** Ratio of response time to target from which the share is halved. */
    private static final double LOWER_FROM_RATIO = 0.8;

    /** Ratio of response time to target up to which the share is raised. */
    private static final double RAISE_UP_TO_RATIO = 0.55;

    private static final int RAISE_STEP_PERCENT = 10;

    private BestEffortShare() {}

    /**
     * Returns the next share, in percent, 0 to 100.
     *
     * @param percent the present share, in percent, 0 to 100
     * @param worstRatio highest ratio of tail response time to target among the tasks beside it
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
