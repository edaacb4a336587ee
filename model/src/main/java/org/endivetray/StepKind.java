package org.endivetray;

/**
 * The kind of change that a step of a plan makes to its worker.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum StepKind {
    /** Takes the worker out of service until it is restored. */
    DRAIN(true),
    /** Takes the worker out of service, reboots it and puts it back into service. */
    MAINTAIN(true),
    /** Moves the worker from one pool to another. */
    MOVE(true),
    /** Puts a drained worker back into service. */
    RESTORE(false);

    private final boolean mReducesCapacity;

    StepKind(boolean reducesCapacity) {
        mReducesCapacity = reducesCapacity;
    }

    /** Returns whether the step lowers the capacity of the worker's pool while it runs. */
    public boolean reducesCapacity() {
        return mReducesCapacity;
    }
}
