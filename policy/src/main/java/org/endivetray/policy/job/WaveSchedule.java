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
     * Returns the number of workers that should be in progress, those in maintenance included.
     *
     * @param progress what is left of the wave, not null
     * @param maxAtOnce highest number of workers that may be down at the same time
     * @param durationMillis time within which the wave is to finish, in milliseconds
     * @param cycleMillis time from the request to drain a worker until it is back, in milliseconds
     */
    public static int targetConcurrency(
            Progress progress, int maxAtOnce, long durationMillis, long cycleMillis) {
        double timeLeft = durationMillis * PLANNED_TIME_SHARE - progress.elapsedMillis();
        double rounds = Math.max(1, Math.floor(timeLeft / cycleMillis));
        int target = (int) Math.ceil(progress.left() / rounds);
        if (rounds == 1) {
            // No later round takes the places of the workers in maintenance.
            target += progress.inMaintenance();
        }
        return Math.max(1, Math.min(maxAtOnce, target));
    }

    /**
     * What is left of a wave.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param left number of workers whose maintenance has not started
     * @param inMaintenance number of workers whose maintenance has started and that are not back
     * @param elapsedMillis time since the wave was requested, in milliseconds
     */
    public record Progress(int left, int inMaintenance, long elapsedMillis) {}
}
