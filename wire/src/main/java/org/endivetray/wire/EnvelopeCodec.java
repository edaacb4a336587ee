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
 * Encodes and decodes the messages between daemons.
 *
 * <p>A frame is a four-byte length followed by the envelope in Thrift's compact protocol. Receivers
 * close a connection on which the length exceeds {@link #MAX_FRAME_BYTES}.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class EnvelopeCodec {
    /** Maximum length of a frame that is accepted, without the length prefix, in bytes. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** Size of the length prefix of a frame, in bytes. */
    public static final int LENGTH_PREFIX_BYTES = 4;

    private EnvelopeCodec() {}

    /**
     * Returns the message encoded as a frame.
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
     * Returns the encoded message without a length prefix, for example to relay it in another
     * message.
     *
     * @param envelope the message, not null
     */
    public static byte[] encodePayload(Envelope envelope) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(envelope);
        } catch (TException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot encode the message", e);
        }
    }

    /**
     * Returns the message that the bytes encode.
     *
     * <p>A string or container whose announced length exceeds that of the message is an error; no
     * memory is allocated for it.
     *
     * @param bytes the encoded message without a length prefix, not null
     * @throws EndivetrayException with {@link ResultCode#INTERNAL} if the bytes are not a message
     */
    public static Envelope decode(byte[] bytes) {
        try {
            Envelope envelope = new Envelope();
            new TDeserializer(new TCompactProtocol.Factory(bytes.length, bytes.length))
                    .deserialize(envelope, bytes);
            return envelope;
        } catch (TException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot decode the message", e);
        }
    }
}
