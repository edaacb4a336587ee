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
 * Runs the work of one concern on a single thread, fed by a bounded ring buffer.
 *
 * <p>Work runs in the order in which it was queued. When a tick has passed, the periodic work runs
 * after the batch in progress or, while the ring is empty, when the wait for work times out.
 *
 * <p>An error in one piece of work, such as a stack overflow, is logged and does not affect the
 * others. When the memory is exhausted, the process ends at once, since it would no longer do what
 * other processes rely on; they take over its duties.
 *
 * <p>Invariants: accepted work runs exactly once unless the duty is stopped; no two pieces of work
 * run concurrently.
 *
 * <p>This class is thread-safe.
 */
public final class Duty {
    private static final Logger LOGGER = System.getLogger(Duty.class.getName());

    /** Exit status of a process whose memory is exhausted, as the runtime itself uses. */
    private static final int OUT_OF_MEMORY_STATUS = 3;

    private final String mName;
    private final Disruptor<RingEntry> mDisruptor;
    private final RingBuffer<RingEntry> mRing;
    private final int mReservedEntries;
    private final long mTickNanos;
    private final Runnable mOnTick;
    private final Runnable mOnOutOfMemory;
    private long mLastTickNanos;
    private volatile Thread mThread;

    /**
     * Constructs a duty that has not been started.
     *
     * @param name the name of the thread, not null
     * @param ringEntries capacity of the ring, a power of two
     * @param tickMillis least time between runs of the periodic work, in milliseconds
     * @param onTick the periodic work, not null
     */
    public Duty(String name, int ringEntries, long tickMillis, Runnable onTick) {
        this(name, ringEntries, tickMillis, onTick, Duty::endProcess);
    }

    Duty(String name, int ringEntries, long tickMillis, Runnable onTick, Runnable onOutOfMemory) {
        mOnOutOfMemory = onOutOfMemory;
        mName = name;
        mTickNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis);
        mOnTick = onTick;
        mReservedEntries = ringEntries / 4;
        mDisruptor =
                new Disruptor<>(
                        RingEntry::new,
                        ringEntries,
                        this::newThread,
                        ProducerType.MULTI,
                        new TimeoutBlockingWaitStrategy(tickMillis, TimeUnit.MILLISECONDS));
        mDisruptor.handleEventsWith(new RingHandler());
        mRing = mDisruptor.getRingBuffer();
    }

    /** Starts the thread. */
    public void start() {
        mLastTickNanos = System.nanoTime();
        mDisruptor.start();
    }

    /** Signals the thread to stop after the work in progress; does not wait for it. */
    public void stop() {
        mDisruptor.halt();
    }

    /**
     * Queues new work unless the ring is nearly full.
     *
     * <p>A quarter of the ring is reserved for {@link #submit}.
     *
     * @param work the work, not null
     * @return whether the work was accepted
     */
    public boolean offer(Runnable work) {
        if (mRing.remainingCapacity() < mReservedEntries) {
            return false;
        }
        return mRing.tryPublishEvent((entry, sequence) -> entry.mWork = work);
    }

    /**
     * Queues work that must not be lost, such as the completion of work accepted before.
     *
     * <p>Waits for a free entry if the ring is full. On the duty's own thread the work runs at once
     * instead, since waiting there could deadlock.
     *
     * @param work the work, not null
     */
    public void submit(Runnable work) {
        if (Thread.currentThread() == mThread) {
            work.run();
            return;
        }
        mRing.publishEvent((entry, sequence) -> entry.mWork = work);
    }

    /**
     * Queues work as {@link #submit} does and returns its future result.
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

    /** Returns the number of ring entries in use. */
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
        } catch (OutOfMemoryError e) {
            mOnOutOfMemory.run();
        } catch (RuntimeException | Error e) {
            LOGGER.log(Level.ERROR, "duty: unexpected error duty=" + mName, e);
        }
    }

    private static void endProcess() {
        Runtime.getRuntime().halt(OUT_OF_MEMORY_STATUS);
    }

    private void tickIfDue() {
        long now = System.nanoTime();
        if (now - mLastTickNanos >= mTickNanos) {
            mLastTickNanos = now;
            runSafely(mOnTick);
        }
    }

    /** An entry of the ring. */
    private static final class RingEntry {
        private Runnable mWork;
    }

    /** Runs the entries of the ring on the duty's thread. */
    private final class RingHandler implements EventHandler<RingEntry> {
        @Override
        public void onEvent(RingEntry entry, long sequence, boolean endOfBatch) {
            Runnable work = entry.mWork;
            entry.mWork = null;
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
