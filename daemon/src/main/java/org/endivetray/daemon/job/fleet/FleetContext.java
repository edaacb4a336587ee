package org.endivetray.daemon.job.fleet;

import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.routing.PoolOwnerClient;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.WorkerAdmin;

/**
 * The services and settings that {@link FleetManager} and its parts share.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name this daemon's name, not null
 * @param store the shared store, not null
 * @param workerAdmin lists, moves and maintains workers on the platform, not null
 * @param owners sends requests to the owners of shards, not null
 * @param executor runs work and results on the scheduler's thread, not null
 * @param hasJobs returns whether a pool may have jobs, not null
 * @param isLeaseValid returns whether no other daemon can be the fleet owner, not null
 * @param holderMillis least time between orders of two successive fleet owners for one worker, in
 *     milliseconds
 */
public record FleetContext(
        String name,
        SharedStore store,
        WorkerAdmin workerAdmin,
        PoolOwnerClient owners,
        SchedulerExecutor executor,
        Predicate<String> hasJobs,
        BooleanSupplier isLeaseValid,
        long holderMillis) {}
