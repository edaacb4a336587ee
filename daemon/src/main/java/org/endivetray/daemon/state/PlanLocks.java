package org.endivetray.daemon.state;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.Plan;

/**
 * The stored record of which confirmed plan holds which workers and pools.
 *
 * <p>It is one record, so of two conflicting plans that are confirmed at once one is refused.
 *
 * <p>Invariants: no worker or pool stands under two plans.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param plans what each plan holds, by plan id, not null
 */
public record PlanLocks(Map<String, Lock> plans) {
    /** A record without holds. */
    public static final PlanLocks EMPTY = new PlanLocks(Map.of());

    public PlanLocks {
        plans = Map.copyOf(plans);
    }

    /** Returns what the plan must hold. */
    public static Lock lockFor(Plan plan) {
        Set<String> names = new HashSet<>();
        plan.steps().forEach(step -> names.add("worker:" + step.worker()));
        plan.intent().pools().forEach(pool -> names.add("pool:" + pool.name()));
        plan.intent().members().forEach(member -> names.add("member:" + member.name()));
        plan.intent().joins().forEach(join -> names.add("worker:" + join.worker()));
        return new Lock(plan.operator(), plan.intent().summary(), names);
    }

    /** Returns the id of another plan that holds something of the given hold, or empty. */
    public Optional<String> conflictingPlan(String planId, Lock hold) {
        return plans.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(planId))
                .filter(entry -> entry.getValue().names().stream().anyMatch(hold.names()::contains))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns a copy with the plan's hold. */
    public PlanLocks plus(String planId, Lock hold) {
        Map<String, Lock> next = new TreeMap<>(plans);
        next.put(planId, hold);
        return new PlanLocks(next);
    }

    /** Returns a copy without the plan's hold. */
    public PlanLocks minus(String planId) {
        Map<String, Lock> next = new TreeMap<>(plans);
        next.remove(planId);
        return new PlanLocks(next);
    }

    /**
     * What one plan holds.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param operator who confirmed the plan, not null
     * @param summary the intent in one line, not null
     * @param names the workers, pools and members held, not null
     */
    public record Lock(String operator, String summary, Set<String> names) {
        public Lock {
            names = Set.copyOf(names);
        }
    }
}
