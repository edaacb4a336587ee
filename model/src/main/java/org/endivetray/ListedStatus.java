package org.endivetray;

/**
 * What the platform's host list says of a worker.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum ListedStatus {
    /** The worker is up. */
    LIVE,
    /** The platform is about to take the worker away. */
    LEAVING,
    /** The worker is down. */
    DOWN;

    /** Returns whether the worker counts towards a budget. */
    public boolean isAvailable() {
        return this == LIVE;
    }
}
