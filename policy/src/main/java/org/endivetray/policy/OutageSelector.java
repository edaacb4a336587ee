package org.endivetray.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.Plan;
import org.endivetray.PlanStep;
import org.endivetray.StepKind;
import org.endivetray.StepState;

/**
 * Selects the workers of a plan that may be taken out of service next.
 *
 * <p>Steps start in the order of the plan, stage by stage. Reboots are paced by {@link WavePacer}.
 * Each pool's budget must hold with all selected workers out of service at the same time.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class OutageSelector {
    private OutageSelector() {}

    /**
     * Returns the workers to take out of service, by pool; a pool without any has no entry.
     *
     * @param plan the plan with the present state of each step, not null
     * @param view the fleet, not null
     */
    public static Map<String, Set<String>> select(Plan plan, FleetView view) {
        int stage =
                plan.steps().stream()
                        .filter(step -> !step.state().isFinal())
                        .mapToInt(PlanStep::stage)
                        .min()
                        .orElse(0);
        Map<String, Set<String>> selected = new TreeMap<>();
        candidates(plan, stage)
                .forEach(
                        (pool, workers) -> {
                            Set<String> allowed = withinBudget(view, pool, workers);
                            if (!allowed.isEmpty()) {
                                selected.put(pool, allowed);
                            }
                        });
        return pace(plan, selected);
    }

    private static Map<String, List<String>> candidates(Plan plan, int stage) {
        Map<String, List<String>> byPool = new TreeMap<>();
        for (PlanStep step : plan.steps()) {
            boolean mayStart = step.state() == StepState.PENDING && step.stage() == stage;
            if (mayStart && step.kind().reducesCapacity()) {
                byPool.computeIfAbsent(step.fromPool(), name -> new ArrayList<>())
                        .add(step.worker());
            }
        }
        return byPool;
    }

    private static Set<String> withinBudget(FleetView view, String pool, List<String> workers) {
        Set<String> allowed = new HashSet<>();
        for (String worker : workers) {
            allowed.add(worker);
            if (BudgetCheck.checkOutages(view, pool, allowed).isPresent()) {
                allowed.remove(worker);
                if (view.record(worker).filter(view::isAvailable).isPresent()) {
                    break;
                }
            }
        }
        return allowed;
    }

    /** Removes the reboots that exceed the pace of the wave; those first in the plan are kept. */
    private static Map<String, Set<String>> pace(Plan plan, Map<String, Set<String>> selected) {
        int left = WavePacer.startableWorkers(plan.steps());
        Map<String, Set<String>> paced = new TreeMap<>();
        for (PlanStep step : plan.steps()) {
            boolean isSelected =
                    step.state() == StepState.PENDING
                            && selected.getOrDefault(step.fromPool(), Set.of())
                                    .contains(step.worker());
            if (!isSelected || (step.kind() == StepKind.MAINTAIN && left-- <= 0)) {
                continue;
            }
            paced.computeIfAbsent(step.fromPool(), name -> new HashSet<>()).add(step.worker());
        }
        return paced;
    }
}
