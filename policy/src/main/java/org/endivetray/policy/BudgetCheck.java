package org.endivetray.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivetray.AvailabilityBudget;
import org.endivetray.FailureDomain;
import org.endivetray.ListedHost;

/**
 * Says whether a pool's availability budget allows a set of available workers.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class BudgetCheck {
    private BudgetCheck() {}

    /**
     * Returns what the budget lacks, or empty if it holds.
     *
     * @param budget the pool's budget, not null
     * @param available workers that would be available, not null
     * @param plannedOutages number of planned outages that there would be
     */
    public static Optional<Shortfall> check(
            AvailabilityBudget budget, Collection<ListedHost> available, int plannedOutages) {
        if (plannedOutages > budget.maxPlannedOutages()) {
            return Optional.of(
                    new Shortfall(
                            Limit.PLANNED_OUTAGES, budget.maxPlannedOutages(), plannedOutages));
        }
        if (available.size() < budget.floorWorkers()) {
            return Optional.of(new Shortfall(Limit.FLOOR, budget.floorWorkers(), available.size()));
        }
        int afterLoss = available.size() - largestDomain(budget.survives(), available);
        if (budget.survives() != FailureDomain.NONE && afterLoss < budget.floorWorkers()) {
            return Optional.of(new Shortfall(Limit.SURVIVES, budget.floorWorkers(), afterLoss));
        }
        return Optional.empty();
    }

    /**
     * Returns what forbids taking the workers out of their pool, or empty if it is allowed.
     *
     * <p>A worker that is not available already lowers nothing when it is taken out, so only the
     * ceiling on planned outages applies to it.
     *
     * @param view the fleet, not null
     * @param pool the pool's name, not null
     * @param workers workers of the pool to take out together, not null
     */
    public static Optional<Shortfall> checkOutages(
            FleetView view, String pool, Collection<String> workers) {
        AvailabilityBudget budget =
                view.pool(pool).map(found -> found.budget()).orElse(AvailabilityBudget.NONE);
        List<ListedHost> before = view.available(pool);
        List<ListedHost> after =
                before.stream().filter(host -> !workers.contains(host.worker())).toList();
        long added =
                workers.stream()
                        .filter(worker -> !view.ledger(pool).outages().containsKey(worker))
                        .count();
        int outages = view.ledger(pool).outages().size() + (int) added;
        if (after.size() == before.size() && outages <= budget.maxPlannedOutages()) {
            return Optional.empty();
        }
        return check(budget, after, outages);
    }

    /** Returns the size of the largest failure domain among the workers. */
    public static int largestDomain(FailureDomain domain, Collection<ListedHost> hosts) {
        Map<String, Integer> sizes = new HashMap<>();
        for (ListedHost host : hosts) {
            sizes.merge(domain.keyOf(host), 1, Integer::sum);
        }
        return sizes.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /**
     * The part of a budget that can forbid an outage.
     *
     * <p>This enum is immutable and thread-safe.
     */
    public enum Limit {
        /** The lowest number of available workers. */
        FLOOR,
        /** The highest number of planned outages. */
        PLANNED_OUTAGES,
        /** The floor after the loss of one failure domain. */
        SURVIVES;

        /** Returns whether lending a worker to the pool can help. */
        public boolean isFixableByLending() {
            return this != PLANNED_OUTAGES;
        }
    }

    /**
     * What a budget lacks.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param limit the part of the budget that forbids, not null
     * @param required the number that it requires, in workers
     * @param found the number that there would be, in workers
     */
    public record Shortfall(Limit limit, int required, int found) {
        /** Returns the shortfall in one phrase for people. */
        public String describe() {
            return limit.name().toLowerCase() + " requires " + required + ", would be " + found;
        }
    }
}
