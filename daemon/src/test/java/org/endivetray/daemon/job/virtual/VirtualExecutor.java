package org.endivetray.daemon.job.virtual;

import io.vertx.core.Future;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.endivetray.daemon.job.SchedulerExecutor;

/**
 * A scheduler executor on a virtual clock, which moves only when it is advanced.
 *
 * <p>This class is not thread-safe.
 */
public final class VirtualExecutor implements SchedulerExecutor {
    private static final long EPOCH_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Item> mQueue = new PriorityQueue<>();
    private long mNowNanos = TimeUnit.SECONDS.toNanos(1);
    private long mSequence;

    @Override
    public long nanoTime() {
        return mNowNanos;
    }

    @Override
    public long currentTimeMillis() {
        return EPOCH_MILLIS + millis();
    }

    /** Returns the virtual time, in milliseconds. */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(mNowNanos);
    }

    @Override
    public <T> void onComplete(Future<T> call, BiConsumer<T, Throwable> action) {
        call.onComplete(
                result ->
                        execute(
                                () ->
                                        action.accept(
                                                result.succeeded() ? result.result() : null,
                                                result.cause())));
    }

    @Override
    public void schedule(long delayMillis, Runnable work) {
        mQueue.add(
                new Item(
                        mNowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis), mSequence++, work));
    }

    @Override
    public void execute(Runnable work) {
        schedule(0, work);
    }

    /**
     * Advances the clock and runs all work that becomes due.
     *
     * @param millis the time to advance by, in milliseconds
     */
    public void advance(long millis) {
        long end = mNowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!mQueue.isEmpty() && mQueue.peek().atNanos() <= end) {
            Item item = mQueue.poll();
            mNowNanos = Math.max(mNowNanos, item.atNanos());
            item.work().run();
        }
        mNowNanos = end;
    }

    /** Work with the time at which it is due. */
    private record Item(long atNanos, long sequence, Runnable work) implements Comparable<Item> {
        @Override
        public int compareTo(Item other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
