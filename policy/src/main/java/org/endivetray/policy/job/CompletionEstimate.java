package org.endivetray.policy.job;

/**
 * An estimate of when a job would be done that is submitted to a pool now.
 *
 * <p>It counts the work that is known to go before the job and nothing that may still arrive, so
 * the job is not expected to be done earlier.
 *
 * <p>Invariants: an estimate is sure only if the durations are learnt and the capacity is steady.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param waitMillis time until its first task starts, in milliseconds, 0 or more
 * @param pathMillis expected duration of its longest chain of steps, in milliseconds
 * @param isSure whether the estimate may be acted on
 */
public record CompletionEstimate(long waitMillis, long pathMillis, boolean isSure) {
    /** Part of the wait that may be missing because durations vary. */
    private static final double SPREAD = 0.3;

    /**
     * A pool and what goes before a job.
     *
     * @param cores processors that are not taken by long-running tasks, 0 or more
     * @param freeCores processors of these that are free
     * @param runningCoreSeconds expected remaining work of the running tasks
     * @param aheadCoreSeconds work that waits and goes before the job
     * @param isSteady whether no capacity is expected to come back, and all is known that runs
     */
    public record Pool(
            double cores,
            double freeCores,
            double runningCoreSeconds,
            double aheadCoreSeconds,
            boolean isSteady) {}

    /**
     * Returns the estimate for a job.
     *
     * @param pool the pool and what goes before the job, not null
     * @param pathMillis expected duration of its longest chain of steps, in milliseconds
     * @param isLearnt whether the durations of its tasks are learnt
     */
    public static CompletionEstimate of(Pool pool, long pathMillis, boolean isLearnt) {
        boolean hasRoom = pool.aheadCoreSeconds() <= 0 && pool.freeCores() > 0;
        boolean isSure = isLearnt && pool.isSteady() && pool.cores() > 0;
        double waitSeconds =
                hasRoom || pool.cores() <= 0
                        ? 0
                        : (pool.runningCoreSeconds() + pool.aheadCoreSeconds()) / pool.cores();
        return new CompletionEstimate(Math.round(1e3 * waitSeconds), pathMillis, isSure);
    }

    /** Returns the time in which the job would be done, in milliseconds. */
    public long doneMillis() {
        return waitMillis + pathMillis;
    }

    /** Returns whether the job is surely not done within a time, in milliseconds. */
    public boolean exceeds(long limitMillis) {
        return isSure && (1 - SPREAD) * doneMillis() > limitMillis;
    }
}
