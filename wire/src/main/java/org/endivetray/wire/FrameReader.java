package org.endivetray.wire;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.wire.gen.Envelope;

/**
 * Splits the byte stream of a connection into frames and decodes each into a message.
 *
 * <p>Invariants: the bytes of an incomplete frame are buffered until the rest arrives.
 *
 * <p>This class is not thread-safe; it is confined to the event loop of its connection.
 */
final class FrameReader {
    private final Consumer<Envelope> mOnMessage;
    private Buffer mPending = Buffer.buffer();

    FrameReader(Consumer<Envelope> onMessage) {
        mOnMessage = onMessage;
    }

    /**
     * Buffers received bytes and passes on each message that is complete.
     *
     * @param bytes the bytes, in the order in which they were received, not null
     * @throws EndivetrayException with {@link ResultCode#INTERNAL} if a frame is longer than {@link
     *     EnvelopeCodec#MAX_FRAME_BYTES} or cannot be decoded; the connection must then be closed
     */
    void onBytes(Buffer bytes) {
        mPending.appendBuffer(bytes);
        int offset = 0;
        while (mPending.length() - offset >= EnvelopeCodec.LENGTH_PREFIX_BYTES) {
            int length = mPending.getInt(offset);
            if (length < 0 || length > EnvelopeCodec.MAX_FRAME_BYTES) {
                throw new EndivetrayException(
                        ResultCode.INTERNAL,
                        "frame length is negative or exceeds the maximum: " + length);
            }
            int start = offset + EnvelopeCodec.LENGTH_PREFIX_BYTES;
            if (mPending.length() - start < length) {
                break;
            }
            offset = start + length;
            mOnMessage.accept(EnvelopeCodec.decode(mPending.getBytes(start, offset)));
        }
        if (offset > 0) {
            mPending = mPending.getBuffer(offset, mPending.length());
        }
    }
}
