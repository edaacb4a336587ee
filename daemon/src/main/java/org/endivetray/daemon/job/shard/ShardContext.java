package org.endivetray.daemon.job.shard;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.quota.QuotaManager;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccounts;
import org.endivetray.platform.MinionOrders;
import org.endivetray.platform.PlacementAdvisor;
import org.endivetray.platform.SharedStore;

/**
 * The services and limits that all shards of a daemon share.
 *
 * <p>The components are thread-safe, but for the memory use, which belongs to the scheduler's
 * thread.
 *
 * @param store the shared store, not null
 * @param minions sends orders to minions, not null
 * @param advisor the placement advisor, null if there is none
 * @param executor runs results on the scheduler's thread and provides its clocks, not null
 * @param memory what the jobs of all shards take, not null
 * @param mayAct whether the daemon may start runs and extend their leases, not null
 * @param metrics counters and histograms, not null
 * @param limits time limits of the platform, not null
 * @param accounts supplies the client accounts of the configuration in force, not null
 * @param quotas the pools' shares in the caps of client accounts, not null
 */
public record ShardContext(
        SharedStore store,
        MinionOrders minions,
        PlacementAdvisor advisor,
        SchedulerExecutor executor,
        MemoryUse memory,
        BooleanSupplier mayAct,
        JobMetrics metrics,
        ShardLimits limits,
        Supplier<ClientAccounts> accounts,
        QuotaManager quotas) {
    /**
     * Leases of an unowned pool's runs after which its room may be used elsewhere: the one in force
     * when its owner ended, and another for an owner that did not know of its end.
     */
    private static final int LEASES_WITHOUT_OWNER = 2;

    /** Constructs a context whose shards hold shares in the caps of the given accounts. */
    public ShardContext(
            SharedStore store,
            MinionOrders minions,
            PlacementAdvisor advisor,
            SchedulerExecutor executor,
            MemoryUse memory,
            BooleanSupplier mayAct,
            JobMetrics metrics,
            ShardLimits limits,
            Supplier<ClientAccounts> accounts) {
        this(
                store,
                minions,
                advisor,
                executor,
                memory,
                mayAct,
                metrics,
                limits,
                accounts,
                new QuotaManager(
                        store,
                        executor,
                        limits.watchTiming(),
                        LEASES_WITHOUT_OWNER * limits.maxLeaseMillis() + limits.stopMillis(),
                        accounts,
                        metrics));
    }
}
