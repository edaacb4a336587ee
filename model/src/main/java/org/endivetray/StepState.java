package org.endivetray;

/**
 * How far a step of a plan has come.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum StepState {
    /** Nothing has been changed. */
    PENDING,
    /** The outage stands in the pool's ledger. */
    RESERVED,
    /** The host record says draining. */
    DRAINING,
    /** The reboot has been asked for. */
    REBOOTING,
    /** The worker is back in service; its outage still stands in the ledger. */
    RELEASING,
    /** The step reached its end. */
    DONE,
    /** The step failed; its worker stays out of service. */
    FAILED,
    /** The step was cancelled before it changed anything. */
    CANCELLED;

    /** Returns whether the step will not change any more. */
    public boolean isFinal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }

    /** Returns whether the step holds its worker out of service. */
    public boolean isUnderWay() {
        return !isFinal() && this != PENDING;
    }
}
