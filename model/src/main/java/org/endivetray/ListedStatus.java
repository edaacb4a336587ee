package org.endivetray;

/**
 * The status of a worker in the platform's host list.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum ListedStatus {
    /** The worker is up. */
    LIVE,
    /** The platform is about to remove the worker. */
    LEAVING,
    /** The worker is down. */
    DOWN;

    /** Returns whether the worker counts as available in a budget. */
    public boolean isAvailable() {
        return this == LIVE;
    }
}
