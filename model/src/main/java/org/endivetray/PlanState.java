package org.endivetray;

/**
 * The life of a plan.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum PlanState {
    /** Shown to the operator and not yet confirmed. */
    PROPOSED,
    /** Confirmed and under way. */
    RUNNING,
    /** Halted by failures; an operator resumes or cancels it. */
    HALTED,
    /** Being cancelled; steps under way are brought to a sound end. */
    CANCELLING,
    /** All steps are done. */
    DONE,
    /** Cancelled; every worker is in a sound state. */
    CANCELLED;

    /** Returns whether an executor still has work to do. */
    public boolean isActive() {
        return this == RUNNING || this == CANCELLING;
    }

    /** Returns whether the plan holds its workers against other plans. */
    public boolean holdsWorkers() {
        return isActive() || this == HALTED;
    }

    /** Returns whether an operator may cancel the plan. */
    public boolean mayCancel() {
        return this == PROPOSED || this == RUNNING || this == HALTED;
    }
}
