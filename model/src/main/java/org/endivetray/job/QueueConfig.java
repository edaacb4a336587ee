package org.endivetray.job;

/**
 * A queue in the operators' configuration.
 *
 * <p>Invariants: {@code prefix} starts and ends with a slash.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name name of the queue, not null
 * @param host host name that callers use, not null
 * @param prefix prefix of the paths of its jobs, not null
 * @param pool name of the pool whose minions run its tasks, not null
 * @param priority priority of its jobs, 0 is the highest
 * @param attempts number of failed runs of a task after which its job fails
 * @param stretch factor by which a job may exceed its critical path and still be on time
 * @param targetLatencyMillis time allowed in addition to the critical path times {@code stretch},
 *     in milliseconds
 * @param placementAdvice whether an external policy selects the minions that may run a step
 */
public record QueueConfig(
        String name,
        String host,
        String prefix,
        String pool,
        int priority,
        int attempts,
        double stretch,
        long targetLatencyMillis,
        boolean placementAdvice) {
    /** Returns a copy whose jobs run in another pool. */
    public QueueConfig withPool(String newPool) {
        return new QueueConfig(
                name,
                host,
                prefix,
                newPool,
                priority,
                attempts,
                stretch,
                targetLatencyMillis,
                placementAdvice);
    }
}
