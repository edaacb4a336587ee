package org.endivetray.daemon.job.shard;

import org.endivetray.daemon.job.watch.StoreWatch;

/**
 * Time limits that the platform sets.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param maxLeaseMillis longest lease of the runs on a minion, in milliseconds
 * @param stopMillis longest time from the answer to a stop order until the run has ended, in
 *     milliseconds
 * @param retentionMillis time for which callers can query the state of an ended job, in
 *     milliseconds
 * @param watchTiming times of the watches on the shared store, not null
 * @param farFactor multiple of its duration that a task takes away from its data, 0 if not known
 */
public record ShardLimits(
        long maxLeaseMillis,
        long stopMillis,
        long retentionMillis,
        StoreWatch.Timing watchTiming,
        double farFactor) {
    /** Constructs limits of a platform that does not state the factor of durations. */
    public ShardLimits(
            long maxLeaseMillis,
            long stopMillis,
            long retentionMillis,
            StoreWatch.Timing watchTiming) {
        this(maxLeaseMillis, stopMillis, retentionMillis, watchTiming, 0);
    }
}
