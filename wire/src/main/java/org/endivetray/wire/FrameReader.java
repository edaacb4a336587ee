package org.endivetray.wire;

import io.vertx.core.buffer.Buffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.policy.intake.IntakeBudget;
import org.endivetray.wire.gen.Envelope;

/**
 * Splits the byte stream of a connection into frames and decodes each into a message.
 *
 * <p>Invariants: the bytes of an incomplete frame are buffered until the rest arrives, if there is
 * room for the whole frame.
 *
 * <p>This class is not thread-safe; it is confined to the event loop of its connection.
 */
final class FrameReader {
    private final Consumer<Envelope> mOnMessage;

    /** The room of all connections, null if there is no limit. */
    private final IntakeBudget mBudget;

    private final Runnable mOnEvicted;
    private Buffer mPending = Buffer.buffer();

    /** Room for the incomplete frame, null if its length is not known. */
    private IntakeBudget.Reservation mRoom;

    private int mReceivedBytes;

    /** Constructs a reader of frames that this daemon has asked for. */
    FrameReader(Consumer<Envelope> onMessage) {
        this(onMessage, null, () -> {});
    }

    /**
     * Constructs a reader that reserves room for each frame that does not arrive at once.
     *
     * @param onMessage handles the messages, not null
     * @param budget the room of all connections, null if there is no limit
     * @param onEvicted closes the connection if its frame must give way, not null
     */
    FrameReader(Consumer<Envelope> onMessage, IntakeBudget budget, Runnable onEvicted) {
        mOnMessage = onMessage;
        mBudget = budget;
        mOnEvicted = onEvicted;
    }

    /**
     * Buffers received bytes and passes on each message that is complete.
     *
     * @param bytes the bytes, in the order in which they were received, not null
     * @throws EndivetrayException as {@link #readMessages}
     */
    void onBytes(Buffer bytes) {
        append(bytes);
        readMessages(Integer.MAX_VALUE);
    }

    /** Buffers received bytes, in the order in which they were received. */
    void append(Buffer bytes) {
        mPending.appendBuffer(bytes);
    }

    /**
     * Passes on buffered messages that are complete.
     *
     * @param maxMessages most messages that are passed on
     * @return number of messages that were passed on; if it is the maximum, more may be complete
     * @throws EndivetrayException with {@link ResultCode#INTERNAL} if a frame is longer than {@link
     *     EnvelopeCodec#MAX_FRAME_BYTES} or cannot be decoded, or with {@link ResultCode#RING_FULL}
     *     if there is no room for it; the connection must then be closed
     */
    int readMessages(int maxMessages) {
        int messages = 0;
        int offset = 0;
        while (messages < maxMessages
                && mPending.length() - offset >= EnvelopeCodec.LENGTH_PREFIX_BYTES) {
            int length = mPending.getInt(offset);
            if (length < 0 || length > EnvelopeCodec.MAX_FRAME_BYTES) {
                throw new EndivetrayException(
                        ResultCode.INTERNAL,
                        "frame length is negative or exceeds the maximum: " + length);
            }
            int start = offset + EnvelopeCodec.LENGTH_PREFIX_BYTES;
            if (mPending.length() - start < length) {
                if (mBudget != null) {
                    reserve(length, mPending.length() - start);
                }
                break;
            }
            close();
            offset = start + length;
            messages++;
            mOnMessage.accept(EnvelopeCodec.decode(mPending.getBytes(start, offset)));
        }
        if (offset > 0) {
            mPending = mPending.getBuffer(offset, mPending.length());
        }
        return messages;
    }

    private void reserve(int frameBytes, int receivedBytes) {
        if (mRoom == null) {
            IntakeBudget.Reservation room = new IntakeBudget.Reservation(mOnEvicted);
            long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            if (!mBudget.reserve(room, frameBytes, nowMillis)) {
                throw new EndivetrayException(
                        ResultCode.RING_FULL, "no room for a frame of " + frameBytes + " bytes");
            }
            mRoom = room;
            mReceivedBytes = 0;
        }
        mBudget.onReceived(mRoom, receivedBytes - mReceivedBytes);
        mReceivedBytes = receivedBytes;
    }

    /** Returns the room of the incomplete frame, if there is one. */
    void close() {
        if (mRoom != null) {
            mBudget.release(mRoom);
            mRoom = null;
        }
    }
}
