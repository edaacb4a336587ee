package org.endivetray.daemon.job.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.ownership.SiteWatch;
import org.endivetray.job.PoolConfig;
import org.endivetray.job.SiteConfig;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.WorkerAdmin.WorkerOrderOutcome;
import org.endivetray.policy.job.DemandForecast;
import org.endivetray.policy.job.RebalancePolicy;
import org.endivetray.wire.gen.LoadReply;

/**
 * Moves idle workers to the pools that need them.
 *
 * <p>Invariants: a worker is moved only after the owner of its pool's shard has said that nothing
 * runs there and nothing will be started; at most one order for a worker is under way.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PoolBalancer {
    private static final Logger LOGGER = System.getLogger(PoolBalancer.class.getName());

    /** Time between looks at the pools' load. A small part of a move. */
    private static final long LOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time for which a pool's load is believed. */
    private static final long LOAD_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Pause before an order that was not answered is given again. */
    private static final long REPEAT_MILLIS = 200;

    /** Least time between two moves of a worker. A worker that moves does no work meanwhile. */
    private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

    /** Time from an order until the worker runs tasks. The platform's move, then registration. */
    private static final long MOVE_LEAD_MILLIS = 1_800;

    private final FleetContext mContext;
    private final SiteWatch mSite;
    private final Condition mOwner;
    private final RecentOrders mOrders;
    private final Map<String, Load> mLoads = new HashMap<>();
    private final Map<String, Long> mMovedNanos = new HashMap<>();
    private final Set<String> mOrdering = new HashSet<>();
    private List<WorkerInfo> mWorkers = List.of();
    private long mNextLoadNanos;
    private boolean mIsEnded;

    PoolBalancer(FleetContext context, SiteWatch site, Condition owner, RecentOrders orders) {
        mContext = context;
        mSite = site;
        mOwner = owner;
        mOrders = orders;
    }

    void stop() {
        mIsEnded = true;
    }

    void onWorkers(List<WorkerInfo> workers) {
        mWorkers = workers;
    }

    /** Returns the load of a pool relative to its capacity, 0 if it is not known. */
    double pressure(String pool) {
        Load load = mLoads.get(pool);
        if (load == null) {
            return 0;
        }
        return load.mForecast.latest() / (double) Math.max(1, load.mReply.getTotalCpuMillis());
    }

    /** Returns whether nothing runs on a minion as far as is known. */
    boolean isIdle(String pool, String minion) {
        Load load = mLoads.get(pool);
        return load != null && load.mReply.getEmptyMinions().contains(minion);
    }

    /** Returns whether tasks that last run on a minion as far as is known. */
    boolean isPinned(String pool, String minion) {
        Load load = mLoads.get(pool);
        return load != null && load.mReply.getPinnedMinions().contains(minion);
    }

    /**
     * Does what is due.
     *
     * @param nowNanos the steady clock
     * @param reserved workers that are not to be moved, not null
     */
    void tick(long nowNanos, Set<String> reserved) {
        SiteConfig config = mSite.config();
        if (config == null || nowNanos - mNextLoadNanos < 0) {
            return;
        }
        mNextLoadNanos = nowNanos + LOAD_NANOS;
        for (PoolConfig pool : config.pools()) {
            if (mContext.hasJobs().test(pool.name())) {
                askLoad(pool.name());
            }
        }
        RebalancePolicy.moves(states(config, nowNanos, reserved)).forEach(this::begin);
    }

    private void askLoad(String pool) {
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
            boolean isKnown = load != null && nowNanos - load.mNanos < LOAD_VALID_NANOS;
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
            boolean isPresent =
                    worker.status() != WorkerInfo.WorkerStatus.DOWN
                            && !reserved.contains(worker.id());
            count += isPresent ? 1 : 0;
            cpu = Math.max(cpu, worker.cpuMillis());
            boolean isIdle =
                    pool.standby() || load.mReply.getEmptyMinions().contains(worker.minion());
            boolean isRested =
                    nowNanos - mMovedNanos.getOrDefault(worker.id(), nowNanos - REST_NANOS)
                            >= REST_NANOS;
            if (worker.status().acceptsOrders()
                    && isIdle
                    && isRested
                    && !mOrdering.contains(worker.id())
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
        WorkerInfo worker =
                mWorkers.stream()
                        .filter(info -> info.id().equals(move.worker()))
                        .findFirst()
                        .orElse(null);
        if (worker != null && mOrdering.add(move.worker())) {
            empty(move, worker.minion());
        }
    }

    /** Asks for the worker's minion to be kept empty, then moves the worker. */
    private void empty(RebalancePolicy.Move move, String minion) {
        if (!mContext.hasJobs().test(move.from())) {
            prepare(move, minion);
            return;
        }
        mContext.executor()
                .onComplete(
                        mContext.owners().drain(move.from(), minion, false),
                        (reply, cause) -> {
                            if (cause == null && reply.isIsEmpty() && !mIsEnded) {
                                prepare(move, minion);
                            } else {
                                mOrdering.remove(move.worker());
                            }
                        });
    }

    private void prepare(RebalancePolicy.Move move, String minion) {
        mContext.executor()
                .onComplete(
                        mOrders.recordOrder(move.worker()),
                        (ignored, cause) -> {
                            if (cause == null && !mIsEnded) {
                                order(move, minion);
                            } else {
                                mOrdering.remove(move.worker());
                            }
                        });
    }

    private void order(RebalancePolicy.Move move, String minion) {
        if (!mContext.isLeaseValid().getAsBoolean()) {
            mOrdering.remove(move.worker());
            return;
        }
        long ordered = mContext.executor().nanoTime();
        mContext.executor()
                .onComplete(
                        mContext.machines()
                                .move(move.worker(), move.to(), mContext.name(), mOwner.version()),
                        (outcome, cause) -> onOutcome(move, minion, outcome, ordered));
    }

    private void onOutcome(
            RebalancePolicy.Move move, String minion, WorkerOrderOutcome outcome, long ordered) {
        LOGGER.log(
                Level.INFO,
                "fleet: move worker={0} from={1} to={2} outcome={3}",
                move.worker(),
                move.from(),
                move.to(),
                outcome);
        mMovedNanos.put(move.worker(), ordered);
        if (outcome == WorkerOrderOutcome.UNKNOWN && !mIsEnded) {
            // It may yet be carried out, so the minion is kept empty until the outcome is known.
            mContext.executor().schedule(REPEAT_MILLIS, () -> empty(move, minion));
            return;
        }
        if (outcome == WorkerOrderOutcome.DONE) {
            mContext.owners().notifyMinionGone(move.from(), minion);
            moveInList(move);
        }
        mOrdering.remove(move.worker());
    }

    /** Counts a worker in its new pool until the next list tells where it is. */
    private void moveInList(RebalancePolicy.Move move) {
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

    /** The latest load of a pool and where its demand goes. */
    private static final class Load {
        private final DemandForecast mForecast = new DemandForecast();
        private LoadReply mReply;
        private long mNanos;

        private int pinnedWorkers() {
            return mReply.getPinnedMinionsSize() + mReply.getWantedMinions();
        }

        private void update(LoadReply reply, long nowNanos) {
            mForecast.add(reply.getWaitingCpuMillis() + reply.getUsedCpuMillis(), nowNanos);
            mReply = reply;
            mNanos = nowNanos;
        }
    }
}
