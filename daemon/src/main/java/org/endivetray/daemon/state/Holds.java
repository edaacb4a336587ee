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
public record Holds(Map<String, Hold> plans) {
    /** A record without holds. */
    public static final Holds EMPTY = new Holds(Map.of());

    public Holds {
        plans = Map.copyOf(plans);
    }

    /** Returns what the plan must hold. */
    public static Hold holdOf(Plan plan) {
        Set<String> names = new HashSet<>();
        plan.steps().forEach(step -> names.add("worker:" + step.worker()));
        plan.intent().pools().forEach(pool -> names.add("pool:" + pool.name()));
        plan.intent().members().forEach(member -> names.add("member:" + member.name()));
        plan.intent().joins().forEach(join -> names.add("worker:" + join.worker()));
        return new Hold(plan.operator(), plan.intent().summary(), names);
    }

    /** Returns the id of another plan that holds something of the given hold, or empty. */
    public Optional<String> conflict(String planId, Hold hold) {
        return plans.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(planId))
                .filter(entry -> entry.getValue().names().stream().anyMatch(hold.names()::contains))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns a copy with the plan's hold. */
    public Holds plus(String planId, Hold hold) {
        Map<String, Hold> next = new TreeMap<>(plans);
        next.put(planId, hold);
        return new Holds(next);
    }

    /** Returns a copy without the plan's hold. */
    public Holds minus(String planId) {
        Map<String, Hold> next = new TreeMap<>(plans);
        next.remove(planId);
        return new Holds(next);
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
    public record Hold(String operator, String summary, Set<String> names) {
        public Hold {
            names = Set.copyOf(names);
        }
    }
}
