package org.endivetray.policy.job;

/**
 * Computes how many workers of a maintenance wave to have in progress at the same time.
 *
 * <p>The number is the lowest that finishes the wave in time, so that the pools keep their
 * capacity; it rises when time runs short.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class WaveSchedule {
    /** Share of the wave's duration in which it is planned to finish. The rest absorbs delays. */
    private static final double PLANNED_TIME_SHARE = 0.75;

    private WaveSchedule() {}

    /**
     * Returns the number of workers that should be in progress.
     *
     * @param left number of workers whose maintenance has not started
     * @param maxAtOnce highest number of workers that may be down at the same time
     * @param elapsedMillis time since the wave was requested, in milliseconds
     * @param durationMillis time within which the wave is to finish, in milliseconds
     * @param cycleMillis time from the request to drain a worker until it is back, in milliseconds
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
