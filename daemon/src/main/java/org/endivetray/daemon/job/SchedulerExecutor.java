package org.endivetray.daemon.job;

import io.vertx.core.Future;
import java.util.function.BiConsumer;

/**
 * Runs work, delayed work and the results of asynchronous calls on the scheduler's thread, and
 * provides the clocks for that work.
 *
 * <p>Implementations are thread-safe.
 */
public interface SchedulerExecutor {
    /** Returns the time of the monotonic clock, in nanoseconds. */
    long nanoTime();

    /** Returns the time of the wall clock, in milliseconds since 1970. */
    long currentTimeMillis();

    /**
     * Runs an action on the scheduler's thread once an asynchronous call has completed.
     *
     * @param call the call, not null
     * @param action receives the result and null, or null and the cause of the failure, not null
     * @param <T> type of the result
     */
    <T> void onComplete(Future<T> call, BiConsumer<T, Throwable> action);

    /**
     * Runs work on the scheduler's thread after a delay.
     *
     * @param delayMillis the delay, in milliseconds, 1 or more
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
