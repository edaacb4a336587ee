package org.endivetray.daemon.state;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.Plan;

/**
 * The stored locks of confirmed plans on workers, pools and members.
 *
 * <p>All locks are in one record, so that if two conflicting plans are confirmed at the same time,
 * the compare-and-swap of one confirmation fails.
 *
 * <p>Invariants: no worker, pool or member is locked by two plans.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param plans the lock of each plan, by plan id, not null
 */
public record PlanLocks(Map<String, Lock> plans) {
    /** A record without locks. */
    public static final PlanLocks EMPTY = new PlanLocks(Map.of());

    public PlanLocks {
        plans = Map.copyOf(plans);
    }

    /** Returns the lock that the plan needs. */
    public static Lock lockFor(Plan plan) {
        Set<String> names = new HashSet<>();
        plan.steps().forEach(step -> names.add("worker:" + step.worker()));
        plan.intent().pools().forEach(pool -> names.add("pool:" + pool.name()));
        plan.intent().members().forEach(member -> names.add("member:" + member.name()));
        plan.intent().joins().forEach(join -> names.add("worker:" + join.worker()));
        return new Lock(plan.operator(), plan.intent().summary(), names);
    }

    /** Returns the id of another plan whose lock overlaps the given one, or empty. */
    public Optional<String> conflictingPlan(String planId, Lock lock) {
        return plans.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(planId))
                .filter(entry -> entry.getValue().names().stream().anyMatch(lock.names()::contains))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns a copy with the lock of the plan. */
    public PlanLocks plus(String planId, Lock lock) {
        Map<String, Lock> next = new TreeMap<>(plans);
        next.put(planId, lock);
        return new PlanLocks(next);
    }

    /** Returns a copy without the lock of the plan. */
    public PlanLocks minus(String planId) {
        Map<String, Lock> next = new TreeMap<>(plans);
        next.remove(planId);
        return new PlanLocks(next);
    }

    /**
     * The workers, pools and members that a plan has locked.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param operator the operator who proposed the plan, not null
     * @param summary one-line summary of the intent, not null
     * @param names the locked names, each with its kind as a prefix such as {@code worker:}, not
     *     null
     */
    public record Lock(String operator, String summary, Set<String> names) {
        public Lock {
            names = Set.copyOf(names);
        }
    }
}
