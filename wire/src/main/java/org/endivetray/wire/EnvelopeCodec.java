package org.endivetray.wire;

import io.vertx.core.buffer.Buffer;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.wire.gen.Envelope;

/**
 * Encodes messages between daemons as Thrift's compact protocol behind a four-byte length.
 *
 * <p>Invariants: a frame is at most {@link #MAX_FRAME_BYTES} long.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class EnvelopeCodec {
    /** Longest frame without its length, in bytes. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** Length of the frame's length, in bytes. */
    public static final int LENGTH_PREFIX_BYTES = 4;

    private EnvelopeCodec() {}

    /**
     * Returns the message as a frame.
     *
     * @param envelope the message, not null
     */
    public static Buffer encode(Envelope envelope) {
        byte[] bytes = encodePayload(envelope);
        return Buffer.buffer(LENGTH_PREFIX_BYTES + bytes.length)
                .appendInt(bytes.length)
                .appendBytes(bytes);
    }

    /**
     * Returns the message without a length, as it is carried in another message.
     *
     * @param envelope the message, not null
     */
    public static byte[] encodePayload(Envelope envelope) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(envelope);
        } catch (TException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot encode a message", e);
        }
    }

    /**
     * Returns the message in a frame without its length.
     *
     * @param bytes the frame, not null
     * @throws EndivetrayException with {@link ResultCode#INTERNAL} if it is not a message
     */
    public static Envelope decode(byte[] bytes) {
        try {
            Envelope envelope = new Envelope();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(envelope, bytes);
            return envelope;
        } catch (TException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot decode a message", e);
        }
    }
}
