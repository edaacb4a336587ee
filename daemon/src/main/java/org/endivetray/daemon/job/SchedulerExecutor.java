package org.endivetray.daemon.job;

import io.vertx.core.Future;
import java.util.function.BiConsumer;

/**
 * The clock of the scheduler's thread, and the way back to it for results of asynchronous calls.
 *
 * <p>Implementations are thread-safe.
 */
public interface SchedulerExecutor {
    /** Returns the steady clock, in nanoseconds. */
    long nanoTime();

    /** Returns the time of day, in milliseconds since 1970. */
    long currentTimeMillis();

    /**
     * Runs an action on the scheduler's thread once a call has ended.
     *
     * @param call the call, not null
     * @param action takes the result, or null and the cause of the failure, not null
     * @param <T> type of the result
     */
    <T> void onComplete(Future<T> call, BiConsumer<T, Throwable> action);

    /**
     * Runs work on the scheduler's thread after a time.
     *
     * @param delayMillis the time, in milliseconds, 1 or more
     * @param work the work, not null
     */
    void schedule(long delayMillis, Runnable work);

    /**
     * Runs work on the scheduler's thread.
     *
     * @param work the work, not null
     */
    void execute(Runnable work);
}
