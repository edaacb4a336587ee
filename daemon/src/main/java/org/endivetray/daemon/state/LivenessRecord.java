package org.endivetray.daemon.state;

/**
 * A daemon's sign of life, stored under its lease.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param incarnation the incarnation that lives
 */
public record LivenessRecord(long incarnation) {}
