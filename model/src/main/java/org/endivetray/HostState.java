package org.endivetray;

/**
 * The operators' side of a worker's life, kept in its host record.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum HostState {
    /** The worker carries its pool's services. */
    ACTIVE(true, false),
    /** New work has stopped; requests in flight finish. */
    DRAINING(false, false),
    /** Nothing is in flight and the worker stays out of service. */
    DRAINED(false, true),
    /** The worker is being rebooted for maintenance. */
    REBOOTING(false, true);

    private final boolean mAcceptsNewWork;
    private final boolean mIdle;

    HostState(boolean acceptsNewWork, boolean idle) {
        mAcceptsNewWork = acceptsNewWork;
        mIdle = idle;
    }

    /** Returns whether requests and jobs may be sent to the worker. */
    public boolean acceptsNewWork() {
        return mAcceptsNewWork;
    }

    /** Returns whether every entry host has acknowledged that nothing is in flight. */
    public boolean isIdle() {
        return mIdle;
    }
}
