package org.endivetray.daemon.job.shard;

/**
 * Time limits that the platform sets.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param maxLeaseMillis longest lease of the runs on a minion, in milliseconds
 * @param retentionMillis time for which callers can query the state of an ended job, in
 *     milliseconds
 */
public record ShardLimits(long maxLeaseMillis, long retentionMillis) {}
