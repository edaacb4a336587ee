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
 * Carries out maintenance waves and moves workers, as the one holder of orders to workers.
 *
 * <p>A new holder leaves alone the workers that the one before may have ordered, and begins no
 * upkeep, until orders of the two can no longer overlap.
 *
 * <p>Invariants: orders are given only under a token that is held.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class FleetManager {
    /** Name of the shard whose owner is the holder. No pool has such a name. */
    public static final String SHARD = "@fleet";

    private static final Logger LOGGER = System.getLogger(FleetManager.class.getName());

    /** Added to the time between two holders for the way of an order. */
    private static final long HOLDER_MARGIN_MILLIS = 700;

    /** Time between looks at the workers. */
    private static final long LIST_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final FleetContext mContext;
    private final SiteWatch mSite;
    private final Map<Long, WaveExecutor> mWaves = new TreeMap<>();
    private Condition mOwner;
    private RecentOrders mOrders;
    private PoolBalancer mBalancer;
    private long mUpkeepFromNanos;
    private long mListedNanos;
    private boolean mIsListing;

    /**
     * Constructs a keeper that holds nothing.
     *
     * @param context what it works with, not null
     * @param site the operators' wishes, not null
     */
    public FleetManager(FleetContext context, SiteWatch site) {
        mContext = context;
        mSite = site;
    }

    /** Takes note that this daemon is the holder. */
    public void onAcquired(Condition owner) {
        LOGGER.log(Level.INFO, "fleet: held token={0}", Long.toString(owner.version()));
        mOwner = owner;
        long waitMillis = mContext.holderMillis() + HOLDER_MARGIN_MILLIS;
        mOrders = new RecentOrders(mContext.store(), mContext.executor(), owner, waitMillis);
        mOrders.start();
        mBalancer = new PoolBalancer(mContext, mSite, owner, mOrders);
        mWaves.clear();
        mUpkeepFromNanos =
                mContext.executor().nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    }

    /** Takes note that this daemon is no longer the holder. */
    public void onLost() {
        if (mOwner != null) {
            LOGGER.log(Level.INFO, "fleet: given up token={0}", Long.toString(mOwner.version()));
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

    /** Returns the token under which orders are given, 0 if none is held. */
    public long token() {
        return mOwner == null ? 0 : mOwner.version();
    }

    /** Does what is due. */
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
        if (!mIsListing && nowNanos - mListedNanos >= LIST_NANOS) {
            list(nowNanos);
        }
    }

    private void list(long nowNanos) {
        mIsListing = true;
        mListedNanos = nowNanos;
        Condition owner = mOwner;
        mContext.executor()
                .onComplete(
                        mContext.machines().list(),
                        (workers, cause) -> {
                            mIsListing = false;
                            if (cause != null) {
                                LOGGER.log(Level.INFO, "fleet: workers not listed {0}", cause);
                            } else if (mOwner == owner) {
                                onWorkers(workers, nowNanos);
                            }
                        });
    }

    private void onWorkers(List<WorkerInfo> workers, long sentNanos) {
        Map<String, WorkerInfo> byId = new HashMap<>();
        workers.forEach(worker -> byId.put(worker.id(), worker));
        mBalancer.onWorkers(workers);
        if (sentNanos - mUpkeepFromNanos >= 0) {
            mWaves.values().forEach(wave -> wave.onWorkers(byId, sentNanos));
        }
    }
}
