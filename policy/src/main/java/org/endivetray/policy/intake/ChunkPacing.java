package org.endivetray.policy.intake;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decides how long a connection that sends very small chunks is not read.
 *
 * <p>Each chunk costs processor time however small it is. The pauses grow with the number of such
 * connections, so that all of them together get a bounded part of the time; a single one is never
 * paused.
 *
 * <p>This class is thread-safe.
 */
public final class ChunkPacing {
    /** Mean size below which the chunks of a read count as very small, in bytes. */
    private static final int SMALL_CHUNK_BYTES = 64;

    /** Chunks of a read below which their size does not matter. */
    private static final int MIN_CHUNKS = 32;

    private static final long PAUSE_MILLIS_PER_CONNECTION = 4;

    private final AtomicInteger mConnections = new AtomicInteger();

    /** Returns whether a read had many very small chunks. */
    public static boolean isCostly(int chunks, long bytes) {
        return chunks >= MIN_CHUNKS && bytes < (long) chunks * SMALL_CHUNK_BYTES;
    }

    /** Records that a connection has begun to send very small chunks. */
    public void enter() {
        mConnections.incrementAndGet();
    }

    /** Records that such a connection has ended its request or was closed. */
    public void leave() {
        mConnections.decrementAndGet();
    }

    /** Returns the time for which a connection is not read after a costly read, in milliseconds. */
    public long pauseMillis() {
        return PAUSE_MILLIS_PER_CONNECTION * (mConnections.get() - 1);
    }
}
