package org.endivetray.daemon.job;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BiConsumer;
import org.endivetray.daemon.duty.Duty;

/**
 * Runs the results of asynchronous calls on a duty's thread.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class DutyCalls {
    private final Vertx mVertx;
    private final Duty mDuty;

    /**
     * Constructs a bridge to a duty.
     *
     * @param vertx runs timers, not null
     * @param duty the duty, not null
     */
    public DutyCalls(Vertx vertx, Duty duty) {
        mVertx = vertx;
        mDuty = duty;
    }

    /**
     * Runs work on the duty's thread after a time.
     *
     * @param delayMillis the time, in milliseconds, 1 or more
     * @param work the work, not null
     */
    public void later(long delayMillis, Runnable work) {
        mVertx.setTimer(delayMillis, ignored -> mDuty.submit(work));
    }

    /**
     * Runs an action on the duty's thread once a call has ended.
     *
     * @param call the call, not null
     * @param action takes the result, or null and the cause of the failure, not null
     * @param <T> type of the result
     */
    public <T> void then(Future<T> call, BiConsumer<T, Throwable> action) {
        call.onComplete(
                result ->
                        mDuty.submit(
                                () -> {
                                    if (result.succeeded()) {
                                        action.accept(result.result(), null);
                                    } else {
                                        action.accept(null, result.cause());
                                    }
                                }));
    }

    /**
     * Runs work on the duty's thread.
     *
     * @param work the work, not null
     */
    public void run(Runnable work) {
        mDuty.submit(work);
    }
}
