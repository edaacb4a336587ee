package org.endivetray.policy.intake;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decides how long a connection is not read after a read that was costly for its size.
 *
 * <p>Each chunk and each request costs processor time however small it is. The pauses grow with the
 * number of such connections, so that all of them together get a bounded part of the time; a single
 * one is never paused.
 *
 * <p>The load: many connections that send bodies in chunks of few bytes, or many small requests
 * without waiting for the answers.
 *
 * <p>This class is thread-safe.
 */
public final class ReadPacing {
    /** Mean size below which the chunks of a read count as very small, in bytes. */
    private static final int SMALL_CHUNK_BYTES = 64;

    /** Chunks of a read below which their size does not matter. */
    private static final int MIN_CHUNKS = 32;

    /** Requests of a read that show that the client does not wait for answers. */
    private static final int MIN_PIPELINED = 4;

    private static final long PAUSE_MILLIS_PER_CONNECTION = 4;

    private final AtomicInteger mConnections = new AtomicInteger();

    /**
     * Returns whether a read was costly for its size.
     *
     * @param requests number of requests that began in it
     * @param chunks number of chunks in it
     * @param chunkBytes bytes of these chunks
     */
    public static boolean isCostly(int requests, int chunks, long chunkBytes) {
        boolean hasSmallChunks =
                chunks >= MIN_CHUNKS && chunkBytes < (long) chunks * SMALL_CHUNK_BYTES;
        return hasSmallChunks || requests >= MIN_PIPELINED;
    }

    /** Records that the reads of a connection have become costly. */
    public void enter() {
        mConnections.incrementAndGet();
    }

    /** Records that the reads of such a connection are no longer costly, or that it was closed. */
    public void leave() {
        mConnections.decrementAndGet();
    }

    /** Returns the time for which a connection is not read after a costly read, in milliseconds. */
    public long pauseMillis() {
        return PAUSE_MILLIS_PER_CONNECTION * (mConnections.get() - 1);
    }
}
