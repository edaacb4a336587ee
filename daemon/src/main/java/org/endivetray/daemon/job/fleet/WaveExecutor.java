package org.endivetray.daemon.job.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.record.StoredWave;
import org.endivetray.job.WaveRequest;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;
import org.endivetray.platform.site.SiteCodec;
import org.endivetray.policy.job.WaveOrder;
import org.endivetray.policy.job.WaveSchedule;

/**
 * Carries out one maintenance wave: drains its workers, puts them into maintenance and records
 * which are done.
 *
 * <p>A new fleet owner counts the workers that the previous one has recently ordered as down and
 * leaves them alone until its orders can no longer take effect; it continues with the others at
 * once.
 *
 * <p>Invariants: no more workers of the wave are in an outage than may be down at the same time, so
 * a worker whose order was not answered keeps its place; the wave is reported as completed only
 * once every worker that is still listed has started its maintenance and that is stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class WaveExecutor implements WorkerOutage.Listener {
    private static final Logger LOGGER = System.getLogger(WaveExecutor.class.getName());
    private static final String KEY_PREFIX = "endivetray/fleet/wave/";

    /** Initial estimate of the duration of an outage: the maintenance and one task. */
    private static final long INITIAL_OUTAGE_MILLIS = 4_500;

    /** Weight of the latest outage in the moving average of the durations of outages. */
    private static final double OUTAGE_SMOOTHING = 0.2;

    /**
     * Cost of draining a worker on which tasks run; each outage in progress in its pool costs 1.
     */
    private static final double BUSY_COST = 2;

    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final FleetContext mContext;
    private final Condition mOwner;
    private final WaveRequest mWave;
    private final PoolBalancer mBalancer;
    private final RecentOrders mOrders;
    private final Set<String> mDone = new TreeSet<>();
    private final Map<String, WorkerOutage> mOutages = new LinkedHashMap<>();
    private Map<String, WorkerInfo> mWorkers = Map.of();
    private double mMeanOutageMillis = INITIAL_OUTAGE_MILLIS;
    private long mVersion;
    private long mStartMillis;
    private long mNextNanos;
    private boolean mIsLoaded;
    private boolean mIsCalling;
    private boolean mIsDirty;
    private boolean mIsReportedRunning;
    private boolean mIsCompleted;
    private boolean mIsStopped;

    WaveExecutor(
            FleetContext context,
            Condition owner,
            WaveRequest wave,
            PoolBalancer balancer,
            RecentOrders orders) {
        mBalancer = balancer;
        mOrders = orders;
        mContext = context;
        mOwner = owner;
        mWave = wave;
    }

    /** Returns the workers that are being drained or are down for the wave. */
    Set<String> workersInProgress() {
        return mOutages.keySet();
    }

    void stop() {
        mIsStopped = true;
    }

    void tick(long nowNanos) {
        if (mIsStopped) {
            return;
        }
        if (!mIsCompleted && !mIsCalling && nowNanos - mNextNanos >= 0) {
            if (!mIsLoaded) {
                load();
            } else if (mIsDirty) {
                store();
            }
        }
        if (mIsLoaded) {
            mOutages.values()
                    .forEach(outage -> outage.tick(mWorkers.get(outage.worker()), nowNanos));
        }
    }

    private void load() {
        mIsCalling = true;
        mContext.executor()
                .onComplete(
                        mContext.store().read(KEY_PREFIX + mWave.number()),
                        (item, cause) -> {
                            mIsCalling = false;
                            if (cause != null) {
                                mNextNanos = mContext.executor().nanoTime() + RETRY_NANOS;
                            } else {
                                onLoaded(item);
                            }
                        });
    }

    private void onLoaded(VersionedValue item) {
        mIsLoaded = true;
        mVersion = item.version();
        mStartMillis = mContext.executor().currentTimeMillis();
        if (item.isPresent()) {
            StoredWave stored = RecordCodec.decode(item.key(), item.value(), StoredWave.class);
            mDone.addAll(stored.done());
            mStartMillis = stored.startMillis();
            mIsCompleted = stored.isCompleted();
            mIsReportedRunning = true;
        }
        mIsDirty = !item.isPresent();
        LOGGER.log(
                Level.INFO,
                "wave: loaded wave={0} workers={1} done={2}",
                Long.toString(mWave.number()),
                Integer.toString(mWave.workers().size()),
                Integer.toString(mDone.size()));
    }

    /** Stores the progress of the wave and reports its state to the operators. */
    private void store() {
        boolean isComplete = isComplete();
        String key = KEY_PREFIX + mWave.number();
        List<Write> writes = new ArrayList<>();
        StoredWave stored = new StoredWave(mStartMillis, mDone, isComplete);
        writes.add(new Write(key, RecordCodec.encode(stored), SharedStore.NO_LEASE));
        if (isComplete || !mIsReportedRunning) {
            writes.add(
                    new Write(
                            SiteCodec.WAVE_STATES_PREFIX + mWave.number(),
                            SiteCodec.encodeWaveState(mWave.number(), isComplete),
                            SharedStore.NO_LEASE));
        }
        mIsCalling = true;
        mIsDirty = false;
        mContext.executor()
                .onComplete(
                        mContext.store()
                                .commit(
                                        new Commit(
                                                List.of(mOwner, new Condition(key, mVersion)),
                                                writes,
                                                List.of())),
                        (result, cause) -> {
                            mIsCalling = false;
                            if (result.isDone()) {
                                mVersion = result.revision();
                                mIsReportedRunning = true;
                                onStored(isComplete);
                            } else {
                                mIsDirty = true;
                                mNextNanos = mContext.executor().nanoTime() + RETRY_NANOS;
                                if (result.outcome() == CommitOutcome.CONFLICT) {
                                    mVersion = result.currentOf(key).version();
                                }
                            }
                        });
    }

    private void onStored(boolean isComplete) {
        if (isComplete) {
            mIsCompleted = true;
            LOGGER.log(
                    Level.INFO,
                    "wave: completed wave={0} millis={1}",
                    Long.toString(mWave.number()),
                    Long.toString(mContext.executor().currentTimeMillis() - mStartMillis));
        }
    }

    private boolean isComplete() {
        return !mWorkers.isEmpty() && remaining().isEmpty();
    }

    private List<String> remaining() {
        return mWave.workers().stream()
                .filter(worker -> !mDone.contains(worker) && mWorkers.containsKey(worker))
                .toList();
    }

    /**
     * Updates the list of workers, ends the outages that are over and starts those that are due.
     *
     * @param workers all workers by id, not null
     * @param sentNanos time of the monotonic clock at which the list was requested, in nanoseconds
     */
    void onWorkers(Map<String, WorkerInfo> workers, long sentNanos) {
        if (!mIsLoaded || mIsStopped || !mOrders.isLoaded()) {
            return;
        }
        mWorkers = workers;
        removeEnded(sentNanos);
        if (mIsCompleted) {
            return;
        }
        mIsDirty |= isComplete();
        List<String> left = remaining();
        Set<String> inherited = inheritedOutages();
        int inMaintenance = (int) mOutages.keySet().stream().filter(mDone::contains).count();
        int targetCount =
                WaveSchedule.targetConcurrency(
                        new WaveSchedule.Progress(
                                left.size(),
                                inMaintenance,
                                mContext.executor().currentTimeMillis() - mStartMillis),
                        mWave.maxAtOnce(),
                        mWave.durationMillis(),
                        Math.round(mMeanOutageMillis));
        List<String> candidates = new ArrayList<>(left);
        candidates.removeAll(mOutages.keySet());
        candidates.removeAll(inherited);
        candidates.removeIf(id -> !workers.get(id).status().acceptsOrders());
        int limit = Math.min(targetCount, mWave.maxAtOnce() - inherited.size());
        while (mOutages.size() < limit && !candidates.isEmpty()) {
            WaveOrder.Candidate next = next(candidates);
            candidates.remove(next.worker());
            mOutages.put(
                    next.worker(),
                    new WorkerOutage(
                            mContext,
                            new WorkerOutage.Order(next.worker(), mWave.number(), mOwner.version()),
                            next.isPinned(),
                            mOrders,
                            this));
        }
    }

    /**
     * Returns the workers that an order of the previous owner has taken down or may still take
     * down.
     */
    private Set<String> inheritedOutages() {
        Set<String> withheld = mOrders.withheldWorkers();
        Set<String> inherited = new HashSet<>();
        for (String worker : mWave.workers()) {
            WorkerInfo info = mWorkers.get(worker);
            boolean isInMaintenance =
                    info != null && info.status() == WorkerInfo.WorkerStatus.IN_UPKEEP;
            boolean isOwn = mOutages.containsKey(worker);
            if (!isOwn && (isInMaintenance || withheld.contains(worker))) {
                inherited.add(worker);
            }
        }
        return inherited;
    }

    /** Removes the outages that are over and adds their durations to the moving average. */
    private void removeEnded(long sentNanos) {
        for (WorkerOutage outage : List.copyOf(mOutages.values())) {
            outage.onListed(mWorkers.get(outage.worker()), sentNanos);
            if (outage.isOver()) {
                mOutages.remove(outage.worker());
                long millis = outage.elapsedMillis(sentNanos);
                mMeanOutageMillis += (millis - mMeanOutageMillis) * OUTAGE_SMOOTHING;
            }
        }
    }

    private WaveOrder.Candidate next(List<String> candidates) {
        Map<String, Integer> perPool = new HashMap<>();
        mOutages.keySet().forEach(id -> perPool.merge(poolOf(id), 1, Integer::sum));
        int pinned = (int) mOutages.values().stream().filter(WorkerOutage::wasPinned).count();
        List<WaveOrder.Candidate> rated =
                candidates.stream().map(id -> toCandidate(mWorkers.get(id), perPool)).toList();
        return WaveOrder.next(rated, mOutages.size(), pinned).orElseThrow();
    }

    /**
     * Returns a worker with the cost of its outage, which is lowest for an idle worker in a pool
     * with little load.
     */
    private WaveOrder.Candidate toCandidate(WorkerInfo info, Map<String, Integer> perPool) {
        boolean isIdle =
                !mContext.hasJobs().test(info.pool())
                        || mBalancer.isIdle(info.pool(), info.minion());
        return new WaveOrder.Candidate(
                info.id(),
                mBalancer.isPinned(info.pool(), info.minion()),
                (isIdle ? 0 : BUSY_COST)
                        + mBalancer.demandRatio(info.pool())
                        + perPool.getOrDefault(info.pool(), 0));
    }

    private String poolOf(String worker) {
        WorkerInfo info = mWorkers.get(worker);
        return info == null ? "" : info.pool();
    }

    @Override
    public boolean isStopped() {
        return mIsStopped;
    }

    @Override
    public void onMaintenanceStarted(String worker) {
        mDone.add(worker);
        mIsDirty = true;
    }
}
