package org.endivetray.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.endivetray.AvailabilityBudget;
import org.endivetray.HostRecord;
import org.endivetray.HostState;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.OutageLedger;
import org.endivetray.Plan;
import org.endivetray.PlanEstimate;
import org.endivetray.PlanStep;
import org.endivetray.StepKind;
import org.endivetray.StepState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlanProgressTest {
    private static Plan plan(PlanStep... steps) {
        return Plan.ofProposal(
                "p-1",
                "op",
                Intent.of(IntentKind.WAVE, "ice"),
                "",
                List.of(steps),
                new PlanEstimate(0, 0, Map.of()));
    }

    @ParameterizedTest
    @CsvSource({
        "DRAIN,    ACTIVE,    p-0, none, PENDING",
        "DRAIN,    ACTIVE,    p-0, p-1,  RESERVED",
        "DRAIN,    DRAINING,  p-1, p-1,  DRAINING",
        "DRAIN,    DRAINED,   p-1, p-1,  DONE",
        "MAINTAIN, ACTIVE,    p-0, none, PENDING",
        "MAINTAIN, ACTIVE,    p-0, p-1,  RESERVED",
        "MAINTAIN, DRAINING,  p-1, p-1,  DRAINING",
        "MAINTAIN, REBOOTING, p-1, p-1,  REBOOTING",
        "MAINTAIN, ACTIVE,    p-1, p-1,  RELEASING",
        "MAINTAIN, ACTIVE,    p-1, none, DONE",
        "RESTORE,  DRAINED,   p-0, p-0,  PENDING",
        "RESTORE,  ACTIVE,    p-1, p-0,  RELEASING",
        "RESTORE,  ACTIVE,    p-1, none, DONE",
    })
    void aDaemonThatTakesOverDerivesTheStateOfAStepFromTheStoredRecords(
            StepKind kind,
            HostState state,
            String changedBy,
            String reservedBy,
            StepState expected) {
        FleetBuilder fleets = new FleetBuilder().pool("ice", false, AvailabilityBudget.NONE);
        fleets.worker("w", "r", "ice").record(new HostRecord("w", "ice", state, 3, changedBy));
        if (!reservedBy.equals("none")) {
            fleets.ledger(OutageLedger.ofPool("ice").plusOutage("w", reservedBy));
        }
        Plan derived =
                PlanProgress.derive(plan(PlanStep.of("w", kind, "ice", "", 1)), fleets.view());
        assertThat(derived.steps().get(0).state()).isEqualTo(expected);
    }

    @Test
    void aLoanAndItsReturnAreDistinguishedByTheirStages() {
        Plan plan =
                plan(
                        PlanStep.of("s", StepKind.MOVE, "support", "ice", 0),
                        PlanStep.of("s", StepKind.MOVE, "ice", "support", 2));
        HostRecord atFirst = HostRecord.ofActive("s", "support");
        HostRecord lent = atFirst.withPool("ice", "p-1");
        HostRecord returned = lent.withPool("support", "p-1");
        assertThat(states(plan, atFirst)).containsExactly(StepState.PENDING, StepState.PENDING);
        assertThat(states(plan, lent)).containsExactly(StepState.DONE, StepState.PENDING);
        assertThat(states(plan, returned)).containsExactly(StepState.DONE, StepState.DONE);
    }

    private static List<StepState> states(Plan plan, HostRecord hostRecord) {
        FleetView view =
                new FleetBuilder()
                        .pool("ice", false, AvailabilityBudget.NONE)
                        .pool("support", true, AvailabilityBudget.NONE)
                        .worker("s", "r", "support")
                        .record(hostRecord)
                        .view();
        List<StepState> states = new ArrayList<>();
        PlanProgress.derive(plan, view).steps().forEach(step -> states.add(step.state()));
        return states;
    }

    @Test
    void aWaveStartsWithOneWorkerGrowsAndHaltsOnCorrelatedFailures() {
        List<PlanStep> steps = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            steps.add(PlanStep.of("w" + i, StepKind.MAINTAIN, "ice", "", 1));
        }
        assertThat(WavePacer.startableWorkers(steps)).isEqualTo(1);
        steps.set(0, steps.get(0).withState(StepState.DRAINING));
        assertThat(WavePacer.startableWorkers(steps)).isZero();
        steps.set(0, steps.get(0).withState(StepState.FAILED));
        assertThat(WavePacer.mustHalt(steps)).as("the first worker failed").isTrue();
        for (int i = 0; i < 10; i++) {
            steps.set(i, steps.get(i).withState(StepState.DONE));
        }
        assertThat(WavePacer.startableWorkers(steps)).isGreaterThan(10);
        steps.set(10, steps.get(10).withState(StepState.FAILED));
        assertThat(WavePacer.mustHalt(steps)).as("one of eleven").isFalse();
        steps.set(11, steps.get(11).withState(StepState.FAILED));
        assertThat(WavePacer.mustHalt(steps)).as("two of twelve").isTrue();
    }
}
