package org.endivetray.daemon.state;

/**
 * The stored proof that a daemon is alive; it is deleted when the lease of the daemon expires.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param incarnation the incarnation of the daemon
 */
public record LivenessRecord(long incarnation) {}
