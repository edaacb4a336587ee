package org.endivetray.daemon.job.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.ownership.SiteWatch;
import org.endivetray.job.WaveRequest;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.SharedStore.Condition;

/**
 * Carries out maintenance waves and moves workers between pools while this daemon is the fleet
 * owner, which is the only daemon that gives orders to workers.
 *
 * <p>A new fleet owner gives no orders to workers that the previous owner has recently ordered
 * until orders of the two can no longer overlap.
 *
 * <p>Invariants: orders are given only while this daemon owns the fleet shard, and carry its
 * fencing token.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class FleetManager {
    /** Name of the fleet shard, whose owner is the fleet owner. No pool has this name. */
    public static final String SHARD = "@fleet";

    private static final Logger LOGGER = System.getLogger(FleetManager.class.getName());

    /** Added to the time between two fleet owners for the transit time of an order. */
    private static final long HANDOVER_MARGIN_MILLIS = 700;

    /** Time between listings of the workers. */
    private static final long LIST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final FleetContext mContext;
    private final SiteWatch mSite;
    private final Map<Long, WaveExecutor> mWaves = new TreeMap<>();
    private Condition mOwner;
    private RecentOrders mOrders;
    private PoolBalancer mBalancer;
    private long mListedNanos;
    private boolean mIsListing;

    /**
     * Constructs a manager that does not own the fleet shard.
     *
     * @param context the services and settings to use, not null
     * @param site provides the configuration and the requested waves, not null
     */
    public FleetManager(FleetContext context, SiteWatch site) {
        mContext = context;
        mSite = site;
    }

    /**
     * Called when this daemon has become the fleet owner.
     *
     * @param owner the owner key of the fleet shard and its version, not null
     */
    public void onAcquired(Condition owner) {
        LOGGER.log(
                Level.INFO,
                "fleet: this daemon is now the fleet owner token={0}",
                Long.toString(owner.version()));
        mOwner = owner;
        long handoverMillis = mContext.holderMillis() + HANDOVER_MARGIN_MILLIS;
        mOrders = new RecentOrders(mContext.store(), mContext.executor(), owner, handoverMillis);
        mOrders.start();
        mBalancer = new PoolBalancer(mContext, mSite, owner, mOrders);
        mWaves.clear();
    }

    /** Called when this daemon is no longer the fleet owner. */
    public void onLost() {
        if (mOwner != null) {
            LOGGER.log(
                    Level.INFO,
                    "fleet: this daemon is no longer the fleet owner token={0}",
                    Long.toString(mOwner.version()));
        }
        mOwner = null;
        if (mBalancer != null) {
            mBalancer.stop();
            mBalancer = null;
            mOrders.stop();
        }
        mWaves.values().forEach(WaveExecutor::stop);
        mWaves.clear();
    }

    /**
     * Returns the fencing token under which orders are given, 0 if this daemon is not the fleet
     * owner.
     */
    public long token() {
        return mOwner == null ? 0 : mOwner.version();
    }

    /**
     * Advances the waves, balances the pools and lists the workers, each when due.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    public void tick(long nowNanos) {
        if (mOwner == null) {
            return;
        }
        for (WaveRequest wave : mSite.waves().values()) {
            mWaves.computeIfAbsent(
                    wave.number(),
                    number -> new WaveExecutor(mContext, mOwner, wave, mBalancer, mOrders));
        }
        Set<String> reserved = new HashSet<>();
        for (WaveExecutor wave : mWaves.values()) {
            wave.tick(nowNanos);
            reserved.addAll(wave.workersInProgress());
        }
        mBalancer.tick(nowNanos, reserved);
        if (!mIsListing && nowNanos - mListedNanos >= LIST_INTERVAL_NANOS) {
            list(nowNanos);
        }
    }

    private void list(long nowNanos) {
        mIsListing = true;
        mListedNanos = nowNanos;
        Condition owner = mOwner;
        mContext.executor()
                .onComplete(
                        mContext.workerAdmin().list(),
                        (workers, cause) -> {
                            mIsListing = false;
                            if (cause != null) {
                                LOGGER.log(
                                        Level.INFO,
                                        "fleet: cannot list workers reason={0}",
                                        cause.getMessage());
                            } else if (mOwner == owner) {
                                onWorkers(workers, nowNanos);
                            }
                        });
    }

    private void onWorkers(List<WorkerInfo> workers, long sentNanos) {
        Map<String, WorkerInfo> byId = new HashMap<>();
        workers.forEach(worker -> byId.put(worker.id(), worker));
        mBalancer.onWorkers(workers, sentNanos);
        mWaves.values().forEach(wave -> wave.onWorkers(byId, sentNanos));
    }
}
