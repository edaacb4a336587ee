package org.endivetray.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivetray.HostRecord;
import org.endivetray.HostState;
import org.endivetray.Plan;
import org.endivetray.PlanStep;
import org.endivetray.StepKind;
import org.endivetray.StepState;

/**
 * Derives the state of each step of a plan from host records and ledgers.
 *
 * <p>Progress is not stored separately, so a daemon that takes over a plan sees the same completed
 * steps as the previous owner, even if that one stopped between two changes.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class PlanProgress {
    private PlanProgress() {}

    /**
     * Returns the plan with the state of each step as derived from the fleet. The step of a worker
     * without a record is failed.
     *
     * @param plan the plan, not null
     * @param view the fleet, not null
     */
    public static Plan derive(Plan plan, FleetView view) {
        List<PlanStep> steps = new ArrayList<>();
        for (PlanStep step : plan.steps()) {
            Optional<HostRecord> found = view.record(step.worker());
            StepState state =
                    found.isPresent() ? stateOf(plan, step, found.get(), view) : StepState.FAILED;
            steps.add(step.withState(state));
        }
        return plan.withSteps(steps);
    }

    private static StepState stateOf(
            Plan plan, PlanStep step, HostRecord hostRecord, FleetView view) {
        String reservedBy = view.ledger(step.fromPool()).outages().get(step.worker());
        boolean reserved = plan.id().equals(reservedBy);
        boolean changedByPlan = plan.id().equals(hostRecord.planId());
        return switch (step.kind()) {
            case DRAIN -> drain(hostRecord, changedByPlan, reserved);
            case MAINTAIN -> maintain(hostRecord, changedByPlan, reserved);
            case MOVE -> move(plan, step, hostRecord, changedByPlan, reserved);
            case RESTORE -> restore(hostRecord, reservedBy != null);
        };
    }

    private static StepState drain(HostRecord hostRecord, boolean changedByPlan, boolean reserved) {
        if (!changedByPlan) {
            return reserved ? StepState.RESERVED : StepState.PENDING;
        }
        return switch (hostRecord.state()) {
            case DRAINING -> StepState.DRAINING;
            case DRAINED -> StepState.DONE;
            case REBOOTING -> StepState.REBOOTING;
            case ACTIVE -> reserved ? StepState.RELEASING : StepState.CANCELLED;
        };
    }

    private static StepState maintain(
            HostRecord hostRecord, boolean changedByPlan, boolean reserved) {
        if (!changedByPlan) {
            return reserved ? StepState.RESERVED : StepState.PENDING;
        }
        return switch (hostRecord.state()) {
            case DRAINING -> StepState.DRAINING;
            case DRAINED, REBOOTING -> StepState.REBOOTING;
            case ACTIVE -> reserved ? StepState.RELEASING : StepState.DONE;
        };
    }

    private static StepState move(
            Plan plan,
            PlanStep step,
            HostRecord hostRecord,
            boolean changedByPlan,
            boolean reserved) {
        if (hostRecord.pool().equals(step.toPool())) {
            if (!changedByPlan) {
                return StepState.PENDING;
            }
            return reserved ? StepState.RELEASING : StepState.DONE;
        }
        if (changedByPlan && hostRecord.state() == HostState.DRAINING) {
            return StepState.DRAINING;
        }
        if (reserved) {
            return StepState.RESERVED;
        }
        boolean hasMovedFurther = changedByPlan && hasLaterMove(plan, step);
        return hasMovedFurther ? StepState.DONE : StepState.PENDING;
    }

    private static boolean hasLaterMove(Plan plan, PlanStep step) {
        return plan.steps().stream()
                .filter(other -> other.kind() == StepKind.MOVE)
                .filter(other -> other.worker().equals(step.worker()))
                .anyMatch(other -> other.stage() > step.stage());
    }

    private static StepState restore(HostRecord hostRecord, boolean inLedger) {
        if (hostRecord.state() != HostState.ACTIVE) {
            return StepState.PENDING;
        }
        return inLedger ? StepState.RELEASING : StepState.DONE;
    }
}
