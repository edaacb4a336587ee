package org.endivetray.standin;

/**
 * A fault of a minion stand-in.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum MinionFault {
    /** No fault. */
    NONE,
    /** Runs requests but never responds. */
    STALL,
    /** Responds to every request with status 500. */
    FAIL,
    /** Closes the connection in the middle of the response. */
    TRUNCATE,
    /** Sends the response of another request. */
    CROSS,
    /** Sends additional bytes after the response. */
    TRAIL,
    /** Refuses every request without running it. */
    REFUSE,
    /** Closes the connection after running the request, without a response. */
    DROP
}
