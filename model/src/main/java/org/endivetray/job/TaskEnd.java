package org.endivetray.job;

/**
 * How a run of a task ended.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum TaskEnd {
    DONE,
    FAILED,
    STOPPED,
    LEASE_EXPIRED,
    GANG_BROKEN,
    GANG_INCOMPLETE,
    UNKNOWN;

    /** Returns whether a run that ended this way counts against the queue's attempts. */
    public boolean countsAsAttempt() {
        return this == FAILED;
    }
}
