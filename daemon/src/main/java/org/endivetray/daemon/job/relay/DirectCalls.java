package org.endivetray.daemon.job.relay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The calls that this daemon has made to the shared store itself and that are not answered yet.
 *
 * <p>A call that was sent during an outage without answers stays unanswered after it. Such calls
 * are given up as soon as the store answers another one, instead of at their time limit.
 *
 * <p>Invariants: whether a call that was given up has been carried out is not known.
 *
 * <p>This class is thread-safe.
 */
final class DirectCalls {
    /** Time after which a call may be given up, many times that in which the store answers. */
    private static final long GIVE_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LongSupplier mNanoTime;
    private final Map<Promise<Void>, Long> mSentNanos = new ConcurrentHashMap<>();

    DirectCalls(LongSupplier nanoTime) {
        mNanoTime = nanoTime;
    }

    /**
     * Makes a call.
     *
     * @param call makes it, not null
     * @param ifGivenUp supplies the result if the call is given up, not null
     * @param <T> type of the result
     */
    <T> Future<T> make(Supplier<Future<T>> call, Supplier<Future<T>> ifGivenUp) {
        Promise<T> result = Promise.promise();
        Promise<Void> givenUp = Promise.promise();
        mSentNanos.put(givenUp, mNanoTime.getAsLong());
        givenUp.future().onSuccess(ignored -> ifGivenUp.get().onComplete(result::handle));
        call.get()
                .onComplete(
                        done -> {
                            // A call that was given up is answered by what replaces it.
                            if (mSentNanos.remove(givenUp) != null) {
                                result.handle(done);
                            }
                        });
        return result.future();
    }

    /** Gives up the calls that have been unanswered for longer than the store takes. */
    void giveUpOverdue() {
        long now = mNanoTime.getAsLong();
        mSentNanos.forEach(
                (givenUp, sent) -> {
                    if (now - sent >= GIVE_UP_NANOS && mSentNanos.remove(givenUp, sent)) {
                        givenUp.complete();
                    }
                });
    }
}
