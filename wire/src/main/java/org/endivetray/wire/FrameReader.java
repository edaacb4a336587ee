package org.endivetray.wire;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.wire.gen.Envelope;

/**
 * Cuts a stream of bytes into messages.
 *
 * <p>Invariants: bytes of an incomplete frame are kept until the rest arrives.
 *
 * <p>This class is not thread-safe; its connection's event loop owns it.
 */
final class FrameReader {
    private final Consumer<Envelope> mOnMessage;
    private Buffer mPending = Buffer.buffer();

    FrameReader(Consumer<Envelope> onMessage) {
        mOnMessage = onMessage;
    }

    /** Takes in bytes and passes on each message that is complete. */
    void onBytes(Buffer bytes) {
        mPending.appendBuffer(bytes);
        int at = 0;
        while (mPending.length() - at >= EnvelopeCodec.LENGTH_PREFIX_BYTES) {
            int length = mPending.getInt(at);
            if (length < 0 || length > EnvelopeCodec.MAX_FRAME_BYTES) {
                throw new EndivetrayException(
                        ResultCode.INTERNAL, "frame length out of range: " + length);
            }
            int start = at + EnvelopeCodec.LENGTH_PREFIX_BYTES;
            if (mPending.length() - start < length) {
                break;
            }
            at = start + length;
            mOnMessage.accept(EnvelopeCodec.decode(mPending.getBytes(start, at)));
        }
        if (at > 0) {
            mPending = mPending.getBuffer(at, mPending.length());
        }
    }
}
