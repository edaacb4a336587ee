package org.endivetray;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The steps that carry out an intent, with their estimated cost and their progress.
 *
 * <p>Invariants: no component is null; steps are ordered by stage.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id the unique id, not null
 * @param operator name of the operator who submitted the intent, not null
 * @param intent the intent, not null
 * @param state the state, not null
 * @param basis fingerprint of the records that the plan was computed from, not null
 * @param steps the change to each worker, not null
 * @param estimate expected cost, not null
 * @param epoch number of times that an executor was assigned
 * @param executor name of the daemon that carries out the plan, or empty
 * @param note why the plan halted or ended, or empty
 */
public record Plan(
        String id,
        String operator,
        Intent intent,
        PlanState state,
        String basis,
        List<PlanStep> steps,
        PlanEstimate estimate,
        long epoch,
        String executor,
        String note) {
    public Plan {
        steps = List.copyOf(steps);
    }

    /** Returns a plan that has not been confirmed. */
    public static Plan ofProposal(
            String id,
            String operator,
            Intent intent,
            String basis,
            List<PlanStep> steps,
            PlanEstimate estimate) {
        return new Plan(
                id, operator, intent, PlanState.PROPOSED, basis, steps, estimate, 0, "", "");
    }

    /** Returns a copy with another state and note. */
    public Plan withState(PlanState state, String note) {
        return new Plan(id, operator, intent, state, basis, steps, estimate, epoch, executor, note);
    }

    /** Returns a copy with other steps. */
    public Plan withSteps(List<PlanStep> steps) {
        return new Plan(id, operator, intent, state, basis, steps, estimate, epoch, executor, note);
    }

    /** Returns a copy with another executor and the epoch incremented. */
    public Plan withExecutor(String executor) {
        return new Plan(
                id, operator, intent, state, basis, steps, estimate, epoch + 1, executor, note);
    }

    /** Returns a copy in which the steps of one worker are replaced. */
    public Plan mapStep(String worker, UnaryOperator<PlanStep> change) {
        return withSteps(
                steps.stream()
                        .map(step -> step.worker().equals(worker) ? change.apply(step) : step)
                        .toList());
    }

    /** Returns whether every step has ended. */
    public boolean isFinished() {
        return steps.stream().allMatch(step -> step.state().isFinal());
    }
}
