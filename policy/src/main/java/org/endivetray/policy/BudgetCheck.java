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
 * Checks availability budgets against sets of available workers.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class BudgetCheck {
    private BudgetCheck() {}

    /**
     * Returns the first limit of the budget that would be violated, or empty if the budget holds.
     *
     * @param budget the pool's budget, not null
     * @param available workers that would be available, not null
     * @param plannedOutages number of planned outages that there would be, 0 or more
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
     * Returns the limit that forbids taking the workers out of service, or empty if none does.
     *
     * <p>Taking out a worker that is already unavailable does not lower the pool's capacity. If all
     * of the workers are unavailable, only the ceiling on planned outages can forbid it.
     *
     * @param view the fleet, not null
     * @param pool the pool's name, not null
     * @param workers workers of the pool to take out at the same time, not null
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

    /**
     * Returns the number of hosts in the failure domain that has the most of them, 0 if there are
     * no hosts.
     */
    public static int largestDomain(FailureDomain domain, Collection<ListedHost> hosts) {
        Map<String, Integer> sizes = new HashMap<>();
        for (ListedHost host : hosts) {
            sizes.merge(domain.keyOf(host), 1, Integer::sum);
        }
        return sizes.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /**
     * A limit of a budget that can forbid an outage.
     *
     * <p>This enum is immutable and thread-safe.
     */
    public enum Limit {
        /** The lowest number of available workers. */
        FLOOR,
        /** The highest number of planned outages at the same time. */
        PLANNED_OUTAGES,
        /** The floor, which must hold after the loss of the largest failure domain. */
        SURVIVES;

        /** Returns whether lending workers to the pool can satisfy the limit. */
        public boolean isFixableByLending() {
            return this != PLANNED_OUTAGES;
        }
    }

    /**
     * A violated limit of a budget.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param limit the violated limit, not null
     * @param required the value that the limit requires, in workers
     * @param found the value that there would be, in workers
     */
    public record Shortfall(Limit limit, int required, int found) {
        /** Returns the shortfall as a phrase for error messages. */
        public String describe() {
            return limit.name().toLowerCase() + " requires " + required + ", would be " + found;
        }
    }
}
