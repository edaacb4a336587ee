package org.endivetray.policy.job;

/**
 * Decides how often a record that is rewritten as a whole is written, so that the time spent on it
 * is bounded while its parts change all the time.
 *
 * <p>Pattern of load: thousands of tasks of one job end within seconds, and each end changes the
 * record of the job.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class WritePacing {
    /** Bytes of one record that are written in a second at the most. */
    private static final long BYTES_PER_SECOND = 1_500_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private WritePacing() {}

    /**
     * Returns the pause after a write of a record before it is written again, in milliseconds.
     *
     * @param bytes size of the record as it was written, in bytes
     */
    public static long pauseMillis(int bytes) {
        return bytes * MILLIS_PER_SECOND / BYTES_PER_SECOND;
    }
}
