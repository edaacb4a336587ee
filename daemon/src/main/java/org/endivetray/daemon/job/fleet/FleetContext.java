package org.endivetray.daemon.job.fleet;

import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.routing.PoolOwnerClient;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.WorkerAdmin;

/**
 * What the keeper of the fleet works with.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name this daemon's name, not null
 * @param store the shared store, not null
 * @param machines the platform's machine service, not null
 * @param owners the owners of shards, not null
 * @param executor runs results on the scheduler's thread, not null
 * @param hasJobs whether a pool's minions run jobs, not null
 * @param isLeaseValid whether no other daemon can be the holder, not null
 * @param holderMillis time between orders of two holders for one worker, in milliseconds
 */
public record FleetContext(
        String name,
        SharedStore store,
        WorkerAdmin machines,
        PoolOwnerClient owners,
        SchedulerExecutor executor,
        Predicate<String> hasJobs,
        BooleanSupplier isLeaseValid,
        long holderMillis) {}
