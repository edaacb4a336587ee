package org.endivetray;

/**
 * The progress of a step of a plan.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum StepState {
    /** Nothing has been changed. */
    PENDING,
    /** The outage is recorded in the pool's ledger. */
    RESERVED,
    /** The host record is in state {@link HostState#DRAINING}. */
    DRAINING,
    /** The reboot has been requested. */
    REBOOTING,
    /** The worker is back in service; its outage is still recorded in the ledger. */
    RELEASING,
    /** The step completed. */
    DONE,
    /** The step failed; its worker stays out of service. */
    FAILED,
    /** The step was cancelled before it changed anything. */
    CANCELLED;

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }

    /** Returns whether the step has started and has not ended. */
    public boolean isUnderWay() {
        return !isFinal() && this != PENDING;
    }
}
