package org.endivetray.daemon.job.shard;

/**
 * Thrown when a daemon does not own the shard of a pool and has therefore not carried out a
 * request.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class NotOwnerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception for the shard of a pool. */
    public NotOwnerException(String pool) {
        super("this daemon does not own the shard of pool '" + pool + "'", null, false, false);
    }
}
