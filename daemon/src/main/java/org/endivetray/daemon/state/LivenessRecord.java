package org.endivetray.daemon.state;

/**
 * Shows that a daemon is alive; stored under a lease, so that it disappears when the lease expires.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param incarnation the incarnation of the daemon
 */
public record LivenessRecord(long incarnation) {}
