package org.endivetray.daemon.duty;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * One thread that does one job, fed by one bounded ring.
 *
 * <p>Work is run in the order in which it was handed over. Between batches, and at least once per
 * tick, the duty's timed work is run.
 *
 * <p>Invariants: work that was accepted is run once unless the duty is stopped; no two pieces of
 * work run at the same time.
 *
 * <p>This class is thread-safe.
 */
public final class Duty {
    private static final Logger LOGGER = System.getLogger(Duty.class.getName());

    private final String mName;
    private final Disruptor<Slot> mDisruptor;
    private final RingBuffer<Slot> mRing;
    private final int mReserved;
    private final long mTickNanos;
    private final Runnable mOnTick;
    private long mLastTickNanos;
    private volatile Thread mThread;

    /**
     * Constructs a duty that has not been started.
     *
     * @param name the thread's name, not null
     * @param ringEntries number of entries of the ring, a power of two
     * @param tickMillis time between runs of the timed work, in milliseconds
     * @param onTick the timed work, not null
     */
    public Duty(String name, int ringEntries, long tickMillis, Runnable onTick) {
        mName = name;
        mTickNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis);
        mOnTick = onTick;
        mReserved = ringEntries / 4;
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        ringEntries,
                        this::newThread,
                        ProducerType.MULTI,
                        new TimeoutBlockingWaitStrategy(tickMillis, TimeUnit.MILLISECONDS));
        mDisruptor.handleEventsWith(new Runner());
        mRing = mDisruptor.getRingBuffer();
    }

    /** Starts the thread. */
    public void start() {
        mLastTickNanos = System.nanoTime();
        mDisruptor.start();
    }

    /** Stops the thread after the work that it has begun. */
    public void stop() {
        mDisruptor.halt();
    }

    /**
     * Hands over work from outside unless the ring is nearly full.
     *
     * @param work the work, not null
     * @return whether the work was accepted
     */
    public boolean offer(Runnable work) {
        if (mRing.remainingCapacity() < mReserved) {
            return false;
        }
        return mRing.tryPublishEvent((slot, sequence) -> slot.mWork = work);
    }

    /**
     * Hands over work that must not be lost, as the end of work accepted before.
     *
     * <p>Waits for a free entry; the duty itself must not call it when its ring may be full.
     *
     * @param work the work, not null
     */
    public void submit(Runnable work) {
        if (Thread.currentThread() == mThread) {
            work.run();
            return;
        }
        mRing.publishEvent((slot, sequence) -> slot.mWork = work);
    }

    /**
     * Hands over work and returns its result.
     *
     * @param work the work, not null
     * @param <T> type of the result
     */
    public <T> CompletableFuture<T> call(Supplier<T> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        submit(
                () -> {
                    try {
                        result.complete(work.get());
                    } catch (RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /** Returns the number of entries in use. */
    public long pendingCount() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    private Thread newThread(Runnable target) {
        Thread thread = new Thread(target, mName);
        thread.setDaemon(true);
        mThread = thread;
        return thread;
    }

    private void runSafely(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "duty: unexpected fault duty=" + mName, e);
        }
    }

    private void tickIfDue() {
        long now = System.nanoTime();
        if (now - mLastTickNanos >= mTickNanos) {
            mLastTickNanos = now;
            runSafely(mOnTick);
        }
    }

    /** One entry of the ring. */
    private static final class Slot {
        private Runnable mWork;
    }

    /** Runs the ring's entries on the duty's thread. */
    private final class Runner implements EventHandler<Slot> {
        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            Runnable work = slot.mWork;
            slot.mWork = null;
            runSafely(work);
            if (endOfBatch) {
                tickIfDue();
            }
        }

        @Override
        public void onTimeout(long sequence) {
            tickIfDue();
        }
    }
}
