package org.endivetray.daemon.observe;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own and drops lines instead of blocking the caller.
 *
 * <p>Invariants: the number of queued lines and the number of bytes written in a second are
 * limited; the number of dropped lines is logged before the first line of the next one-second
 * window.
 *
 * <p>This class is thread-safe.
 */
final class BoundedLogHandler extends Handler {
    private static final int MAX_QUEUED_LINES = 4_096;

    /** A sixth of the volume that all daemons of a small site may log together in a second. */
    private static final long MAX_BYTES_PER_SECOND = 32_768;

    private static final long POLL_MILLIS = 500;

    private final BlockingQueue<LogRecord> mQueue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong mDroppedCount = new AtomicLong();
    private final PrintStream mOut;
    private long mWindowStartNanos = System.nanoTime();
    private long mWindowBytes;

    BoundedLogHandler(PrintStream out, Formatter formatter) {
        mOut = out;
        setFormatter(formatter);
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void publish(LogRecord line) {
        if (isLoggable(line) && !mQueue.offer(line)) {
            mDroppedCount.incrementAndGet();
        }
    }

    private void run() {
        try {
            while (true) {
                LogRecord line = mQueue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    write(line);
                }
                if (mQueue.isEmpty()) {
                    mOut.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void write(LogRecord line) {
        long now = System.nanoTime();
        if (now - mWindowStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
            mWindowStartNanos = now;
            mWindowBytes = 0;
            long dropped = mDroppedCount.getAndSet(0);
            if (dropped > 0) {
                mOut.println("log: lines dropped count=" + dropped);
            }
        }
        if (mWindowBytes >= MAX_BYTES_PER_SECOND) {
            mDroppedCount.incrementAndGet();
            return;
        }
        String text = getFormatter().format(line);
        mWindowBytes += text.length();
        mOut.print(text);
    }

    @Override
    public void flush() {
        LogRecord line = mQueue.poll();
        while (line != null) {
            write(line);
            line = mQueue.poll();
        }
        mOut.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
