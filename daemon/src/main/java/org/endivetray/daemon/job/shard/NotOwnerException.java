package org.endivetray.daemon.job.shard;

/**
 * Says that a daemon does not own the shard, so that nothing was done.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class NotOwnerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception for a pool's shard. */
    public NotOwnerException(String pool) {
        super("this daemon does not own the jobs of pool '" + pool + "'", null, false, false);
    }
}
