package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which idle workers move to pools that ask for more than they have.
 *
 * <p>A pool needs enough workers for the processors that its tasks use and wait for, and never
 * gives away workers on which something runs. Workers that are switched off are taken last.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class RebalancePolicy {
    /** Processors asked for that one worker is planned to carry, as a share of its own. */
    private static final double PLANNED_USE = 0.85;

    /** Workers that a pool keeps although nothing asks for them. */
    private static final int KEPT_WORKERS = 1;

    private RebalancePolicy() {}

    /**
     * Returns the moves to order now.
     *
     * @param pools the pools that can give or take workers, not null
     */
    public static List<Move> moves(List<PoolState> pools) {
        Map<String, Integer> needs = needs(pools);
        List<PoolState> takers = new ArrayList<>();
        List<PoolState> givers = new ArrayList<>();
        for (PoolState pool : pools) {
            int spare = pool.workers() - needs.get(pool.name());
            if (!pool.isStandby() && spare < 0) {
                takers.add(pool);
            } else if (spare > 0 && !pool.idleWorkers().isEmpty()) {
                givers.add(pool);
            }
        }
        takers.sort(
                Comparator.comparingDouble(
                        pool -> pool.workers() / (double) needs.get(pool.name())));
        givers.sort(Comparator.comparing(PoolState::isStandby));
        return match(takers, givers, needs);
    }

    private static List<Move> match(
            List<PoolState> takers, List<PoolState> givers, Map<String, Integer> needs) {
        List<Move> moves = new ArrayList<>();
        for (PoolState taker : takers) {
            int wanted = needs.get(taker.name()) - taker.workers();
            for (PoolState giver : givers) {
                int spare = giver.workers() - needs.get(giver.name());
                for (String worker : giver.idleWorkers()) {
                    boolean isTaken = moves.stream().anyMatch(move -> move.worker().equals(worker));
                    long given =
                            moves.stream().filter(move -> move.from().equals(giver.name())).count();
                    if (wanted > 0 && given < spare && !isTaken) {
                        moves.add(new Move(worker, giver.name(), taker.name()));
                        wanted--;
                    }
                }
            }
        }
        return moves;
    }

    /** Returns the number of workers that each pool needs; shortage is shared by demand. */
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
                int least = pool.isStandby() ? 0 : Math.max(KEPT_WORKERS, pool.pinnedWorkers());
                int shared = (int) Math.floor(needs.get(pool.name()) * share);
                needs.put(pool.name(), Math.max(least, shared));
            }
        }
        return needs;
    }

    private static int need(PoolState pool) {
        double perWorker = pool.cpuMillisPerWorker() * PLANNED_USE;
        int need = (int) Math.ceil(pool.demandCpuMillis() / Math.max(1, perWorker));
        return Math.max(need, Math.max(KEPT_WORKERS, pool.pinnedWorkers()));
    }

    /**
     * What is known of a pool.
     *
     * @param name its name, not null
     * @param isStandby whether its workers are switched off
     * @param workers workers that are in it or on their way to it
     * @param pinnedWorkers workers that run tasks that last
     * @param idleWorkers ids of workers that may move now, not null
     * @param demandCpuMillis processors that tasks use and wait for, in thousandths of a core
     * @param cpuMillisPerWorker processors of a worker, in thousandths of a core
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
     * A worker to move.
     *
     * @param worker id of the worker, not null
     * @param from the pool that gives it, not null
     * @param to the pool that takes it, not null
     */
    public record Move(String worker, String from, String to) {}
}
