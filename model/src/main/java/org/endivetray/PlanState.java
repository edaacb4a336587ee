package org.endivetray;

/**
 * The state of a plan.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum PlanState {
    /** Shown to the operator and not yet confirmed. */
    PROPOSED,
    /** Confirmed and in progress. */
    RUNNING,
    /** Halted by failures until an operator resumes or cancels it. */
    HALTED,
    /** Being cancelled; steps in progress are brought to a consistent end. */
    CANCELLING,
    /** All steps are done. */
    DONE,
    /** Cancelled; every worker is in a consistent state. */
    CANCELLED;

    /** Returns whether an executor still has work to do. */
    public boolean isActive() {
        return this == RUNNING || this == CANCELLING;
    }

    /** Returns whether other plans must not change the workers of the plan. */
    public boolean holdsWorkers() {
        return isActive() || this == HALTED;
    }

    /** Returns whether an operator may cancel the plan. */
    public boolean mayCancel() {
        return this == PROPOSED || this == RUNNING || this == HALTED;
    }
}
