package org.endivetray.policy.job;

/**
 * How many workers of a maintenance wave are to be emptied or down at the same time.
 *
 * <p>As few as will do, so that the pools keep their capacity; more when time runs short.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class WaveSchedule {
    /** Share of the wave's time in which it is planned to be done. Leaves room for trouble. */
    private static final double PLANNED_TIME_SHARE = 0.75;

    private WaveSchedule() {}

    /**
     * Returns the number of workers that should be under way.
     *
     * @param left workers that have not begun their upkeep
     * @param maxAtOnce most that may be down at the same time
     * @param elapsedMillis time since the wave was requested, in milliseconds
     * @param durationMillis time within which all are to be done, in milliseconds
     * @param cycleMillis time that one worker takes from the request to empty it, in milliseconds
     */
    public static int targetConcurrency(
            int left, int maxAtOnce, long elapsedMillis, long durationMillis, long cycleMillis) {
        double timeLeft = durationMillis * PLANNED_TIME_SHARE - elapsedMillis;
        if (timeLeft <= cycleMillis) {
            return Math.min(left, maxAtOnce);
        }
        double rounds = Math.max(1, Math.floor(timeLeft / cycleMillis));
        return Math.max(1, Math.min(maxAtOnce, (int) Math.ceil(left / rounds)));
    }
}
