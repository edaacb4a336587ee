package org.endivetray.proof.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Connections of clients that all send the same bytes and then stay open.
 *
 * <p>Invariants: each connection is sent its bytes in turns; one that the daemon has closed is sent
 * nothing more; the time for sending is bounded.
 *
 * <p>This class is not thread-safe.
 */
final class ClientCrowd implements AutoCloseable {
    private static final long SEND_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long NO_PROGRESS_MILLIS = 1_500;
    private static final long IDLE_MILLIS = 20;
    private static final int CLOSED = -1;

    private final InetSocketAddress mAddress;
    private final List<SocketChannel> mChannels = new ArrayList<>();
    private final int[] mSent;
    private long mPeakTakenBytes;

    /**
     * Opens connections.
     *
     * @param address the address of the daemon, not null
     * @param connections number of connections
     */
    ClientCrowd(InetSocketAddress address, int connections) throws IOException {
        mAddress = address;
        mSent = new int[connections];
        for (int i = 0; i < connections; i++) {
            mChannels.add(connect(i));
        }
    }

    private SocketChannel connect(int i) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        mSent[i] = 0;
        try {
            channel.socket().connect(mAddress, (int) NO_PROGRESS_MILLIS);
        } catch (IOException e) {
            mSent[i] = CLOSED;
        }
        channel.configureBlocking(false);
        return channel;
    }

    /** Closes each connection and opens another one, in turn. */
    void comeBack() throws IOException {
        for (int i = 0; i < mSent.length; i++) {
            mChannels.get(i).close();
            mChannels.set(i, connect(i));
        }
    }

    /**
     * Sends bytes on each connection, in turns of at most {@code pieceBytes}, until all are sent or
     * none takes any more. What the daemon has taken is measured whenever none takes any more.
     */
    void send(byte[] bytes, int pieceBytes) throws IOException, InterruptedException {
        long end = System.nanoTime() + SEND_LIMIT_NANOS;
        long idleMillis = 0;
        while (idleMillis < NO_PROGRESS_MILLIS && System.nanoTime() - end < 0) {
            long before = sentBytes();
            boolean isDone = true;
            for (int i = 0; i < mSent.length; i++) {
                if (mSent[i] != CLOSED && mSent[i] < bytes.length) {
                    write(i, bytes, pieceBytes);
                    isDone = false;
                }
            }
            if (isDone) {
                return;
            }
            if (sentBytes() > before) {
                idleMillis = 0;
            } else {
                idleMillis += IDLE_MILLIS;
                Thread.sleep(IDLE_MILLIS);
                measureTaken();
            }
        }
    }

    private void write(int i, byte[] bytes, int pieceBytes) {
        int length = Math.min(pieceBytes, bytes.length - mSent[i]);
        try {
            mSent[i] += mChannels.get(i).write(ByteBuffer.wrap(bytes, mSent[i], length));
        } catch (IOException e) {
            mSent[i] = CLOSED;
        }
    }

    /** Returns the most bytes that the daemon had taken from open connections and not answered. */
    long peakTakenBytes() {
        return mPeakTakenBytes;
    }

    /** Measures what has been taken; bytes on their way between two queues count as taken. */
    private void measureTaken() throws IOException {
        int[] sent = mSent.clone();
        SocketQueues queues = SocketQueues.read();
        long taken = 0;
        for (int i = 0; i < sent.length; i++) {
            if (sent[i] != CLOSED) {
                InetSocketAddress client =
                        (InetSocketAddress) mChannels.get(i).socket().getLocalSocketAddress();
                long queued = queues.bytesOfConnection(client, mAddress);
                taken += queued < 0 ? 0 : sent[i] - queued;
            }
        }
        mPeakTakenBytes = Math.max(mPeakTakenBytes, taken);
    }

    private long sentBytes() {
        return Arrays.stream(mSent).filter(sent -> sent > 0).asLongStream().sum();
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : mChannels) {
            channel.close();
        }
    }
}
