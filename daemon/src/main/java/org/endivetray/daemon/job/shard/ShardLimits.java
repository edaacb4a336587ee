package org.endivetray.daemon.job.shard;

/**
 * Time limits that the platform sets.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param maxLeaseMillis longest lease of what runs on a minion, in milliseconds
 * @param retentionMillis time for which the state of an ended job is told, in milliseconds
 */
public record ShardLimits(long maxLeaseMillis, long retentionMillis) {}
