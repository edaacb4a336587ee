package org.endivetray;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The system's answer to an intent: the steps, their cost and how far they have come.
 *
 * <p>Invariants: no component is null; steps are ordered by stage.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id the unique id, not null
 * @param operator who asked, not null
 * @param intent what was asked for, not null
 * @param state where the plan is in its life, not null
 * @param basis fingerprint of what the plan was made from, not null
 * @param steps what is done with each worker, not null
 * @param estimate expected cost, not null
 * @param epoch number of changes of executor
 * @param executor name of the daemon that carries the plan out, or empty
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

    /** Returns a copy in another state. */
    public Plan withState(PlanState state, String note) {
        return new Plan(id, operator, intent, state, basis, steps, estimate, epoch, executor, note);
    }

    /** Returns a copy with other steps. */
    public Plan withSteps(List<PlanStep> steps) {
        return new Plan(id, operator, intent, state, basis, steps, estimate, epoch, executor, note);
    }

    /** Returns a copy that another daemon carries out, with the epoch raised. */
    public Plan withExecutor(String executor) {
        return new Plan(
                id, operator, intent, state, basis, steps, estimate, epoch + 1, executor, note);
    }

    /** Returns a copy in which one worker's step is replaced. */
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
