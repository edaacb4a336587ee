package org.endivetray;

/**
 * One worker's part of a plan.
 *
 * <p>Invariants: no component is null; {@code toPool} is empty unless the step moves the worker.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param worker the worker's name, not null
 * @param kind what is done with it, not null
 * @param fromPool the pool it is in, not null
 * @param toPool the pool it moves to, or empty
 * @param stage the step starts only after all steps of lower stages are done
 * @param state how far it has come, not null
 */
public record PlanStep(
        String worker, StepKind kind, String fromPool, String toPool, int stage, StepState state) {
    /** Returns a step that has not been started. */
    public static PlanStep of(
            String worker, StepKind kind, String fromPool, String toPool, int stage) {
        return new PlanStep(worker, kind, fromPool, toPool, stage, StepState.PENDING);
    }

    /** Returns a copy in another state. */
    public PlanStep withState(StepState state) {
        return new PlanStep(worker, kind, fromPool, toPool, stage, state);
    }

    /** Returns whether the other step does the same with the same worker. */
    public boolean hasSameEffect(PlanStep other) {
        return worker.equals(other.worker)
                && kind == other.kind
                && fromPool.equals(other.fromPool)
                && toPool.equals(other.toPool);
    }
}
