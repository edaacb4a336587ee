package org.endivetray.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivetray.AvailabilityBudget;
import org.endivetray.EndivetrayException;
import org.endivetray.FailureDomain;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.PlanStep;
import org.endivetray.ResultCode;
import org.endivetray.StepKind;

/** Compares the planner with an exhaustive search on small fleets. */
class PlannerProperties {
    private static final String RACK = "r0";

    @Property(tries = 400, seed = "11")
    void aRackDrainUsesTheFewestMovesThatKeepTheBudgets(
            @ForAll Random random,
            @ForAll @IntRange(min = 1, max = 5) int workers,
            @ForAll @IntRange(min = 0, max = 4) int spares,
            @ForAll @IntRange(min = 0, max = 5) int floor,
            @ForAll @IntRange(min = 0, max = 2) int spareFloor) {
        AvailabilityBudget budget =
                AvailabilityBudget.ofFloor(floor)
                        .withSurvives(
                                random.nextInt(3) == 0 ? FailureDomain.RACK : FailureDomain.NONE);
        FleetView view = fleet(random, workers, spares, budget, spareFloor);
        if (inRack(view).isEmpty()) {
            return;
        }
        OptionalInt fewest = fewestMoves(view, budget, spareFloor);
        if (fewest.isEmpty()) {
            EndivetrayException refusal =
                    catchThrowableOfType(
                            EndivetrayException.class,
                            () -> Planner.plan(view, Intent.of(IntentKind.DRAIN_RACK, RACK)));
            assertThat(refusal.code()).isEqualTo(ResultCode.BUDGET_FORBIDS);
            return;
        }
        PlanDraft draft = Planner.plan(view, Intent.of(IntentKind.DRAIN_RACK, RACK));
        assertThat(draft.estimate().moves()).isEqualTo(fewest.getAsInt());
    }

    private static FleetView fleet(
            Random random, int workers, int spares, AvailabilityBudget budget, int spareFloor) {
        FleetBuilder fleets = new FleetBuilder();
        fleets.pool("p", false, budget);
        fleets.pool("s", true, AvailabilityBudget.ofFloor(spareFloor));
        for (int i = 0; i < workers; i++) {
            ListedStatus status = random.nextInt(6) == 0 ? ListedStatus.DOWN : ListedStatus.LIVE;
            fleets.worker("w" + i, "r" + random.nextInt(3), "p", status);
        }
        for (int i = 0; i < spares; i++) {
            fleets.worker("s" + i, "r" + random.nextInt(4), "s");
        }
        return fleets.view();
    }

    private static Set<String> inRack(FleetView view) {
        Set<String> names = new HashSet<>();
        for (ListedHost host : view.listedHosts()) {
            if (host.rack().equals(RACK)) {
                names.add(host.worker());
            }
        }
        return names;
    }

    /** Returns the fewest spare workers whose loan allows the drain, or empty if no loan does. */
    private static OptionalInt fewestMoves(
            FleetView view, AvailabilityBudget budget, int spareFloor) {
        Set<String> out = inRack(view);
        List<ListedHost> kept = new ArrayList<>(view.available("p"));
        boolean lowersAvailable = kept.removeIf(host -> out.contains(host.worker()));
        List<ListedHost> spares =
                view.available("s").stream().filter(host -> !out.contains(host.worker())).toList();
        boolean drainsPool =
                view.recordsOf("p").stream().map(HostRecord::worker).anyMatch(out::contains);
        int lendable = Math.max(0, spares.size() - spareFloor);
        boolean drainsSpare = view.available("s").size() > spares.size();
        if (drainsSpare && spares.size() < spareFloor) {
            return OptionalInt.empty();
        }
        if (!drainsPool || !lowersAvailable) {
            return OptionalInt.of(0);
        }
        return FleetBuilder.subsets(spares).stream()
                .filter(lent -> lent.size() <= lendable)
                .filter(lent -> holds(budget, kept, lent))
                .mapToInt(List::size)
                .min();
    }

    private static boolean holds(
            AvailabilityBudget budget, List<ListedHost> kept, List<ListedHost> lent) {
        List<ListedHost> all = new ArrayList<>(kept);
        all.addAll(lent);
        return BudgetCheck.check(budget, all, 0).isEmpty();
    }

    @Property(tries = 200, seed = "12")
    void aWaveMaintainsEachWorkerOnceAndReturnsItsLoans(
            @ForAll @IntRange(min = 1, max = 6) int workers,
            @ForAll @IntRange(min = 0, max = 6) int floor) {
        FleetView view =
                new FleetBuilder()
                        .pool("p", false, AvailabilityBudget.ofFloor(Math.min(floor, workers)))
                        .pool("s", true, AvailabilityBudget.NONE)
                        .workers(workers, "w", "p")
                        .workers(2, "s", "s")
                        .view();
        PlanDraft draft = Planner.plan(view, Intent.of(IntentKind.WAVE, "p"));
        List<String> maintained =
                draft.steps().stream()
                        .filter(step -> step.kind() == StepKind.MAINTAIN)
                        .map(PlanStep::worker)
                        .toList();
        assertThat(maintained).hasSize(workers).doesNotHaveDuplicates();
        long moves = draft.steps().stream().filter(step -> step.kind() == StepKind.MOVE).count();
        assertThat(moves).isEqualTo(floor >= workers ? 2 : 0);
    }
}
