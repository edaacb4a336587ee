package org.endivetray;

/**
 * The administrative state of a worker, stored in its host record.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum HostState {
    /** The worker provides the services of its pool. */
    ACTIVE(true, false),
    /** The worker gets no new work; requests in flight finish. */
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
