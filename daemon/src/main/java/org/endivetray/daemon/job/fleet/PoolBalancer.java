package org.endivetray.daemon.job.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.ownership.SiteWatch;
import org.endivetray.job.PoolConfig;
import org.endivetray.job.SiteConfig;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DemandForecast;
import org.endivetray.policy.job.RebalancePolicy;
import org.endivetray.wire.gen.LoadReply;

/**
 * Moves idle workers to the pools that need more.
 *
 * <p>Invariants: a worker of a pool with jobs is moved only after the owner of the pool's shard has
 * confirmed that nothing runs on it and nothing will be started; at most one move per worker is in
 * progress.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PoolBalancer implements WorkerMove.Listener {
    /**
     * Time between requests for the pools' load, short compared with the time that a move takes.
     */
    private static final long LOAD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after which a reported load is too old to be used. */
    private static final long LOAD_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Least time between two moves of a worker, since it does no work while it moves. */
    private static final long MOVE_COOLDOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

    /**
     * Time from an order until the worker runs tasks: the platform's move, then the registration.
     */
    private static final long MOVE_LEAD_MILLIS = 1_800;

    private final FleetContext mContext;
    private final SiteWatch mSite;
    private final Condition mOwner;
    private final RecentOrders mOrders;
    private final Map<String, Load> mLoads = new HashMap<>();
    private final Map<String, Long> mMovedNanos = new HashMap<>();
    private final Map<String, WorkerMove> mMoves = new HashMap<>();
    private List<WorkerInfo> mWorkers = List.of();
    private long mNextLoadNanos;
    private boolean mIsStopped;

    PoolBalancer(FleetContext context, SiteWatch site, Condition owner, RecentOrders orders) {
        mContext = context;
        mSite = site;
        mOwner = owner;
        mOrders = orders;
    }

    void stop() {
        mIsStopped = true;
    }

    void onWorkers(List<WorkerInfo> workers, long sentNanos) {
        mWorkers = workers;
        Map<String, WorkerInfo> moving = new HashMap<>();
        workers.stream()
                .filter(worker -> mMoves.containsKey(worker.id()))
                .forEach(worker -> moving.put(worker.id(), worker));
        List.copyOf(mMoves.values())
                .forEach(move -> move.onListed(moving.get(move.worker()), sentNanos));
    }

    /**
     * Returns the latest demand of a pool as a share of its capacity, 0 if its load is not known.
     */
    double demandRatio(String pool) {
        Load load = mLoads.get(pool);
        if (load == null) {
            return 0;
        }
        return load.mForecast.latest() / (double) Math.max(1, load.mReply.getTotalCpuMillis());
    }

    /** Returns whether nothing runs on a minion according to the latest reported load. */
    boolean isIdle(String pool, String minion) {
        Load load = mLoads.get(pool);
        return load != null && load.isEmpty(minion);
    }

    /** Returns whether long-running tasks run on a minion according to the latest reported load. */
    boolean isPinned(String pool, String minion) {
        Load load = mLoads.get(pool);
        return load != null && load.mReply.getPinnedMinions().contains(minion);
    }

    /**
     * Requests the pools' load and starts the moves that are needed, when due.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     * @param reserved ids of workers that must not be moved, not null
     */
    void tick(long nowNanos, Set<String> reserved) {
        SiteConfig config = mSite.config();
        if (config == null || nowNanos - mNextLoadNanos < 0) {
            return;
        }
        mNextLoadNanos = nowNanos + LOAD_INTERVAL_NANOS;
        for (PoolConfig pool : config.pools()) {
            if (mContext.hasJobs().test(pool.name())) {
                requestPoolLoad(pool.name());
            }
        }
        RebalancePolicy.moves(states(config, nowNanos, reserved)).forEach(this::begin);
    }

    private void requestPoolLoad(String pool) {
        mContext.executor()
                .onComplete(
                        mContext.owners().load(pool),
                        (reply, cause) -> {
                            if (cause == null && reply.isIsOwner()) {
                                mLoads.computeIfAbsent(pool, ignored -> new Load())
                                        .update(reply, mContext.executor().nanoTime());
                            }
                        });
    }

    private List<RebalancePolicy.PoolState> states(
            SiteConfig config, long nowNanos, Set<String> reserved) {
        Map<String, List<WorkerInfo>> byPool = new HashMap<>();
        for (WorkerInfo worker : mWorkers) {
            byPool.computeIfAbsent(worker.pool(), ignored -> new ArrayList<>()).add(worker);
        }
        List<RebalancePolicy.PoolState> states = new ArrayList<>();
        for (PoolConfig pool : config.pools()) {
            Load load = mLoads.get(pool.name());
            boolean isKnown = load != null && nowNanos - load.mUpdatedNanos < LOAD_VALID_NANOS;
            if (pool.standby() || isKnown) {
                List<WorkerInfo> workers = byPool.getOrDefault(pool.name(), List.of());
                states.add(state(pool, workers, load, nowNanos, reserved));
            }
        }
        return states;
    }

    private RebalancePolicy.PoolState state(
            PoolConfig pool,
            List<WorkerInfo> workers,
            Load load,
            long nowNanos,
            Set<String> reserved) {
        List<String> idle = new ArrayList<>();
        int count = 0;
        int cpu = 1;
        for (WorkerInfo worker : workers) {
            boolean isAvailable =
                    worker.status() != WorkerInfo.WorkerStatus.DOWN
                            && !reserved.contains(worker.id());
            count += isAvailable ? 1 : 0;
            cpu = Math.max(cpu, worker.cpuMillis());
            boolean isCooledDown =
                    nowNanos - mMovedNanos.getOrDefault(worker.id(), nowNanos - MOVE_COOLDOWN_NANOS)
                            >= MOVE_COOLDOWN_NANOS;
            boolean isIdle = pool.standby() || load.isEmpty(worker.minion());
            if (worker.status().acceptsOrders()
                    && isIdle
                    && isCooledDown
                    && !mMoves.containsKey(worker.id())
                    && mOrders.mayOrder(worker.id())
                    && !reserved.contains(worker.id())) {
                idle.add(worker.id());
            }
        }
        return new RebalancePolicy.PoolState(
                pool.name(),
                pool.standby(),
                count,
                load == null ? 0 : load.pinnedWorkers(),
                idle,
                load == null ? 0 : load.mForecast.demandAfter(MOVE_LEAD_MILLIS),
                cpu);
    }

    private void begin(RebalancePolicy.Move move) {
        mWorkers.stream()
                .filter(info -> info.id().equals(move.worker()))
                .findFirst()
                .ifPresent(info -> begin(move, info.minion()));
    }

    private void begin(RebalancePolicy.Move move, String minion) {
        if (!mMoves.containsKey(move.worker())) {
            WorkerMove started = new WorkerMove(mContext, move, minion, mOwner, mOrders, this);
            mMoves.put(move.worker(), started);
            started.start();
        }
    }

    @Override
    public boolean isStopped() {
        return mIsStopped;
    }

    @Override
    public void onOrdered(RebalancePolicy.Move move, long orderedNanos) {
        mMovedNanos.put(move.worker(), orderedNanos);
    }

    @Override
    public void onEnded(RebalancePolicy.Move move, boolean isMoved) {
        mMoves.remove(move.worker());
        if (isMoved) {
            applyToWorkers(move);
        }
    }

    /** Counts a worker in its new pool until the workers are listed again. */
    private void applyToWorkers(RebalancePolicy.Move move) {
        List<WorkerInfo> workers = new ArrayList<>();
        for (WorkerInfo worker : mWorkers) {
            workers.add(
                    worker.id().equals(move.worker())
                            ? new WorkerInfo(
                                    worker.id(),
                                    move.to(),
                                    WorkerInfo.WorkerStatus.MOVING,
                                    "",
                                    worker.labels(),
                                    worker.cpuMillis())
                            : worker);
        }
        mWorkers = workers;
    }

    /** The latest reported load of a pool and the forecast of its demand. */
    private static final class Load {
        private final DemandForecast mForecast = new DemandForecast();
        private LoadReply mReply;
        private long mUpdatedNanos;

        private boolean isEmpty(String minion) {
            return mReply.getEmptyMinions().contains(minion);
        }

        private int pinnedWorkers() {
            return mReply.getPinnedMinionsSize() + mReply.getWantedMinions();
        }

        private void update(LoadReply reply, long nowNanos) {
            mForecast.add(reply.getWaitingCpuMillis() + reply.getUsedCpuMillis(), nowNanos);
            mReply = reply;
            mUpdatedNanos = nowNanos;
        }
    }
}
