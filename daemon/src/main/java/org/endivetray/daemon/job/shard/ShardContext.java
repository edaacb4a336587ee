package org.endivetray.daemon.job.shard;

import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.platform.MinionOrders;
import org.endivetray.platform.PlacementAdvisor;
import org.endivetray.platform.SharedStore;

/**
 * What all shards of a daemon share.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param store the shared store, not null
 * @param minions orders to minions, not null
 * @param advice the placement advice, null if there is none
 * @param calls runs results on the scheduler's thread, not null
 * @param metrics counters and histograms, not null
 * @param limits time limits of the platform, not null
 */
public record ShardContext(
        SharedStore store,
        MinionOrders minions,
        PlacementAdvisor advice,
        SchedulerExecutor calls,
        JobMetrics metrics,
        ShardLimits limits) {}
