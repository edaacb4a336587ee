package org.endivetray.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Set;
import org.endivetray.AvailabilityBudget;
import org.endivetray.EndivetrayException;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.OutageLedger;
import org.junit.jupiter.api.Test;

class PlannerTest {
    private static FleetView fleet(int floor, int maxOutages, int spares) {
        return new FleetBuilder()
                .pool(
                        "ice",
                        false,
                        AvailabilityBudget.ofFloor(floor).withMaxPlannedOutages(maxOutages))
                .pool("support", true, AvailabilityBudget.NONE)
                .workers(6, "w", "ice")
                .workers(spares, "s", "support")
                .view();
    }

    @Test
    void aRefusedDrainReportsTheViolatedLimitAndTheRemedy() {
        assertThatThrownBy(
                        () -> Planner.plan(fleet(6, 6, 0), Intent.of(IntentKind.DRAIN_RACK, "r1")))
                .isInstanceOf(EndivetrayException.class)
                .hasMessage(
                        "pool ice: floor requires 6, would be 5; "
                                + "lend 1 more workers or lower the floor to 5");
    }

    @Test
    void aCeilingOnOutagesIsNotFixableByLending() {
        assertThatThrownBy(
                        () -> Planner.plan(fleet(1, 0, 3), Intent.of(IntentKind.DRAIN_RACK, "r1")))
                .hasMessageContaining("planned_outages requires 0, would be 1")
                .hasMessageContaining("raise the ceiling to 1 or take out fewer workers at a time");
    }

    @Test
    void aSpareIsLentBeforeTheDrainIfTheFloorRequiresIt() {
        PlanDraft draft = Planner.plan(fleet(6, 6, 3), Intent.of(IntentKind.DRAIN_WORKER, "w2"));
        assertThat(draft.estimate().moves()).isEqualTo(1);
        assertThat(draft.steps().get(0).toPool()).isEqualTo("ice");
        assertThat(draft.steps().get(1).worker()).isEqualTo("w2");
        assertThat(draft.steps().get(0).stage()).isLessThan(draft.steps().get(1).stage());
    }

    @Test
    void aLoanBeyondTheBudgetOfTheLenderIsRefused() {
        assertThatThrownBy(() -> Planner.plan(fleet(1, 6, 2), Intent.ofLoan(3, "support", "ice")))
                .hasMessage("pool 'support' can lend 2 workers within its budget, requested: 3");
    }

    @Test
    void anUnknownNameIsRefusedAndNamedInTheMessage() {
        assertThatThrownBy(() -> Planner.plan(fleet(1, 6, 2), Intent.ofLoan(1, "nowhere", "ice")))
                .hasMessage("pool 'nowhere' does not exist");
        assertThatThrownBy(
                        () -> Planner.plan(fleet(1, 6, 2), Intent.of(IntentKind.DRAIN_RACK, "r99")))
                .hasMessage("no worker is in rack 'r99'");
    }

    @Test
    void anUnlistedWorkerDoesNotCountAsAvailable() {
        FleetView view =
                new FleetBuilder()
                        .pool("ice", false, AvailabilityBudget.ofFloor(4))
                        .workers(5, "w", "ice")
                        .unlisted("w0")
                        .view();
        assertThat(view.available("ice")).hasSize(4);
        assertThat(BudgetCheck.checkOutages(view, "ice", Set.of("w1"))).isPresent();
    }

    @Test
    void anOutageOfAnotherPlanInTheLedgerCountsAgainstTheBudget() {
        FleetView view =
                new FleetBuilder()
                        .pool("ice", false, AvailabilityBudget.ofFloor(4))
                        .workers(5, "w", "ice")
                        .ledger(OutageLedger.ofPool("ice").plusOutage("w3", "p-other"))
                        .view();
        assertThat(BudgetCheck.checkOutages(view, "ice", Set.of("w1"))).isPresent();
    }
}
