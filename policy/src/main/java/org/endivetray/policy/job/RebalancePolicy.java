package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which idle workers move to pools with too few workers for their demand.
 *
 * <p>A pool needs enough workers for the processors that its tasks use and wait for, and never
 * gives up a worker on which a task runs. Standby workers, which are switched off, are taken last.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class RebalancePolicy {
    /** Share of a worker's processors that the demand is planned to use. */
    private static final double PLANNED_UTILIZATION = 0.85;

    /** Number of workers that a pool keeps without any demand. */
    private static final int MIN_WORKERS = 1;

    private RebalancePolicy() {}

    /**
     * Returns the moves to order now.
     *
     * @param pools the pools that can give or receive workers, not null
     */
    public static List<Move> moves(List<PoolState> pools) {
        Map<String, Integer> needs = needs(pools);
        List<PoolState> receivers = new ArrayList<>();
        List<PoolState> donors = new ArrayList<>();
        for (PoolState pool : pools) {
            int spare = pool.workers() - needs.get(pool.name());
            if (!pool.isStandby() && spare < 0) {
                receivers.add(pool);
            } else if (spare > 0 && !pool.idleWorkers().isEmpty()) {
                donors.add(pool);
            }
        }
        receivers.sort(
                Comparator.comparingDouble(
                        pool -> pool.workers() / (double) needs.get(pool.name())));
        donors.sort(Comparator.comparing(PoolState::isStandby));
        return match(receivers, donors, needs);
    }

    private static List<Move> match(
            List<PoolState> receivers, List<PoolState> donors, Map<String, Integer> needs) {
        List<Move> moves = new ArrayList<>();
        for (PoolState receiver : receivers) {
            int wanted = needs.get(receiver.name()) - receiver.workers();
            for (PoolState donor : donors) {
                int spare = donor.workers() - needs.get(donor.name());
                for (String worker : donor.idleWorkers()) {
                    boolean isTaken = moves.stream().anyMatch(move -> move.worker().equals(worker));
                    long given =
                            moves.stream().filter(move -> move.from().equals(donor.name())).count();
                    if (wanted > 0 && given < spare && !isTaken) {
                        moves.add(new Move(worker, donor.name(), receiver.name()));
                        wanted--;
                    }
                }
            }
        }
        return moves;
    }

    /**
     * Returns the number of workers that each pool needs. If there are fewer workers than needed,
     * needs are scaled down in proportion, but not below what a pool must keep.
     */
    private static Map<String, Integer> needs(List<PoolState> pools) {
        Map<String, Integer> needs = new HashMap<>();
        int wanted = 0;
        int total = 0;
        for (PoolState pool : pools) {
            int need = pool.isStandby() ? 0 : need(pool);
            needs.put(pool.name(), need);
            wanted += need;
            total += pool.workers();
        }
        if (wanted > total) {
            double share = total / (double) wanted;
            for (PoolState pool : pools) {
                int minimum = pool.isStandby() ? 0 : Math.max(MIN_WORKERS, pool.pinnedWorkers());
                int shared = (int) Math.floor(needs.get(pool.name()) * share);
                needs.put(pool.name(), Math.max(minimum, shared));
            }
        }
        return needs;
    }

    private static int need(PoolState pool) {
        double perWorker = pool.cpuMillisPerWorker() * PLANNED_UTILIZATION;
        int need = (int) Math.ceil(pool.demandCpuMillis() / Math.max(1, perWorker));
        return Math.max(need, Math.max(MIN_WORKERS, pool.pinnedWorkers()));
    }

    /**
     * The workers and the demand of a pool.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param name the pool's name, not null
     * @param isStandby whether its workers are switched off
     * @param workers number of workers that are in the pool or on their way to it
     * @param pinnedWorkers number of workers that long-running tasks run on or wait for
     * @param idleWorkers ids of the workers that may move now, not null
     * @param demandCpuMillis processors that tasks use and wait for, in thousandths of a core
     * @param cpuMillisPerWorker processors of one worker, in thousandths of a core
     */
    public record PoolState(
            String name,
            boolean isStandby,
            int workers,
            int pinnedWorkers,
            List<String> idleWorkers,
            long demandCpuMillis,
            int cpuMillisPerWorker) {
        public PoolState {
            idleWorkers = List.copyOf(idleWorkers);
        }
    }

    /**
     * A move of a worker between pools.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param worker the worker's id, not null
     * @param from name of the pool that gives the worker, not null
     * @param to name of the pool that receives it, not null
     */
    public record Move(String worker, String from, String to) {}
}
