package org.endivetray.daemon.job;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.endivetray.daemon.observe.JobMetrics;

/**
 * Runs the parts of a pass so that an unexpected error of one part does not keep the others from
 * running. Each error is counted; of those of the same part, one in ten seconds is logged.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class ErrorBoundary {
    private static final Logger LOGGER = System.getLogger(ErrorBoundary.class.getName());
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SchedulerExecutor mExecutor;
    private final JobMetrics mMetrics;
    private final String mName;

    /** Time at which an error was logged last, by the part. */
    private final Map<String, Long> mLoggedNanos = new HashMap<>();

    /**
     * Constructs a boundary.
     *
     * @param executor provides the clock, not null
     * @param metrics counts the errors, not null
     * @param name what the parts belong to, for the log, not null
     */
    public ErrorBoundary(SchedulerExecutor executor, JobMetrics metrics, String name) {
        mExecutor = executor;
        mMetrics = metrics;
        mName = name;
    }

    /** Runs a part. */
    public void run(String part, Runnable work) {
        call(
                part,
                () -> {
                    work.run();
                    return null;
                },
                null);
    }

    /** Returns the result of a part, or another value if the part fails. */
    public <T> T call(String part, Supplier<T> work, T otherwise) {
        try {
            return work.get();
        } catch (RuntimeException e) {
            onError(part, e);
            return otherwise;
        }
    }

    private void onError(String part, RuntimeException error) {
        mMetrics.onUnexpectedError(part);
        long now = mExecutor.nanoTime();
        Long logged = mLoggedNanos.get(part);
        if (logged == null || now - logged >= LOG_INTERVAL_NANOS) {
            mLoggedNanos.put(part, now);
            LOGGER.log(Level.ERROR, "pass: unexpected error of=" + mName + " part=" + part, error);
        }
    }
}
