package org.endivetray.daemon.job.routing;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.observe.JobMetrics;

/**
 * Counts the calls that are rejected for lack of a valid key and logs them.
 *
 * <p>Invariants: at most one line a second is logged, so that callers without a key cannot fill the
 * log.
 *
 * <p>This class is thread-safe.
 */
final class KeyRejections {
    private static final Logger LOGGER = System.getLogger(KeyRejections.class.getName());
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final JobMetrics mMetrics;
    private int mSinceLastLine;
    private long mLoggedNanos;

    KeyRejections(JobMetrics metrics) {
        mMetrics = metrics;
    }

    /**
     * Records the rejection of a call.
     *
     * @param queue name of the queue, not null
     * @param hasKey whether the call had a key
     * @param version version of the configuration in force
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    synchronized void onRejected(String queue, boolean hasKey, long version, long nowNanos) {
        mMetrics.onRejectedKey(queue);
        mSinceLastLine++;
        if (mLoggedNanos != 0 && nowNanos - mLoggedNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "front: unauthorized queue={0} hasKey={1} config={2} sinceLastLine={3}",
                queue,
                hasKey,
                Long.toString(version),
                Integer.toString(mSinceLastLine));
        mSinceLastLine = 0;
        mLoggedNanos = nowNanos;
    }
}
