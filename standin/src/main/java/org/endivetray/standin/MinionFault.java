package org.endivetray.standin;

/**
 * What is wrong with a minion.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum MinionFault {
    /** Nothing. */
    NONE,
    /** It runs requests and never answers. */
    STALL,
    /** It answers everything with status 500. */
    FAIL,
    /** It closes the connection in the middle of the answer. */
    TRUNCATE,
    /** It answers with another request's answer. */
    CROSS,
    /** It sends more bytes after the answer. */
    TRAIL,
    /** It refuses everything without running it. */
    REFUSE,
    /** It closes the connection after running the request, without an answer. */
    DROP
}
