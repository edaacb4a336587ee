package org.endivetray;

/**
 * What a plan does with one worker.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum StepKind {
    /** Takes the worker out of service and leaves it so. */
    DRAIN(true),
    /** Takes the worker out of service, reboots it and puts it back. */
    MAINTAIN(true),
    /** Takes the worker out of one pool and puts it into another. */
    MOVE(true),
    /** Puts a drained worker back into service. */
    RESTORE(false);

    private final boolean mTakesOut;

    StepKind(boolean takesOut) {
        mTakesOut = takesOut;
    }

    /** Returns whether the step lowers the capacity of the worker's pool while it runs. */
    public boolean reducesCapacity() {
        return mTakesOut;
    }
}
