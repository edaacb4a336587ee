package org.endivetray.daemon.job;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BiConsumer;
import org.endivetray.daemon.duty.Duty;

/**
 * A scheduler executor that runs work on the thread of a {@link Duty} and uses the system's clocks.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class DutyExecutor implements SchedulerExecutor {
    private final Vertx mVertx;
    private final Duty mDuty;

    /**
     * Constructs an executor for a duty.
     *
     * @param vertx runs timers, not null
     * @param duty the duty whose thread runs the work, not null
     */
    public DutyExecutor(Vertx vertx, Duty duty) {
        mVertx = vertx;
        mDuty = duty;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long currentTimeMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void schedule(long delayMillis, Runnable work) {
        mVertx.setTimer(delayMillis, ignored -> mDuty.submit(work));
    }

    @Override
    public <T> void onComplete(Future<T> call, BiConsumer<T, Throwable> action) {
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

    @Override
    public void execute(Runnable work) {
        mDuty.submit(work);
    }
}
