package org.endivetray;

/**
 * The step of a plan that changes one worker.
 *
 * <p>Invariants: no component is null; {@code toPool} is empty unless the step moves the worker.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param worker the worker's name, not null
 * @param kind the kind of change, not null
 * @param fromPool the worker's pool, not null
 * @param toPool the pool that the worker moves to, or empty
 * @param stage number of the stage; the step starts only after all steps of lower stages are done
 * @param state the progress, not null
 */
public record PlanStep(
        String worker, StepKind kind, String fromPool, String toPool, int stage, StepState state) {
    /** Returns a step that has not been started. */
    public static PlanStep of(
            String worker, StepKind kind, String fromPool, String toPool, int stage) {
        return new PlanStep(worker, kind, fromPool, toPool, stage, StepState.PENDING);
    }

    /** Returns a copy with another state. */
    public PlanStep withState(StepState state) {
        return new PlanStep(worker, kind, fromPool, toPool, stage, state);
    }

    /** Returns whether the other step makes the same change to the same worker. */
    public boolean hasSameEffect(PlanStep other) {
        return worker.equals(other.worker)
                && kind == other.kind
                && fromPool.equals(other.fromPool)
                && toPool.equals(other.toPool);
    }
}
