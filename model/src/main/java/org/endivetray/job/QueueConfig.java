package org.endivetray.job;

/**
 * One queue of the operators' configuration.
 *
 * <p>Invariants: {@code prefix} starts and ends with a slash.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name name of the queue, not null
 * @param host host name under which callers reach it, not null
 * @param prefix start of its paths, not null
 * @param pool pool whose minions run its tasks, not null
 * @param priority 0 goes first
 * @param attempts failed runs of a task after which its job has failed
 * @param stretch multiple of the longest chain within which a job is in time
 * @param targetLatencyMillis time added to the stretched chain, in milliseconds
 * @param placementAdvice whether an outside policy names the minions that may run a step
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
        boolean placementAdvice) {}
