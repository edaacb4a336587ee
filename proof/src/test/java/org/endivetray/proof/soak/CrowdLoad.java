package org.endivetray.proof.soak;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.endivetray.wire.EnvelopeCodec;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.ConfigPull;
import org.endivetray.wire.gen.Envelope;

/** What each client of a crowd sends before it stops. */
enum CrowdLoad {
    /** A large body but for its last byte. */
    BODY(Integer.MAX_VALUE) {
        @Override
        byte[] bytes(CrowdPort port) {
            return announced(port, port.bodyBytes(), port.bodyBytes() - 1);
        }
    },
    /** The same in small pieces, a piece of each client in turn. */
    BODY_IN_PIECES(2_048) {
        @Override
        byte[] bytes(CrowdPort port) {
            return BODY.bytes(port);
        }
    },
    /** A body of large chunks without the last one. */
    LARGE_CHUNKS(Integer.MAX_VALUE) {
        @Override
        byte[] bytes(CrowdPort port) {
            return chunked(port, 32_768, port.bodyBytes());
        }
    },
    /** A body of very small chunks without the last one. */
    SMALL_CHUNKS(16_384) {
        @Override
        byte[] bytes(CrowdPort port) {
            return chunked(port, 1, 40_000);
        }
    },
    /** A body that is announced with a length far over the limit. */
    ANNOUNCED_OVER_LIMIT(65_536) {
        @Override
        byte[] bytes(CrowdPort port) {
            return announced(port, 1 << 28, 1 << 21);
        }
    },
    /** A body that grows far over the limit without an announcement. */
    SENT_OVER_LIMIT(65_536) {
        @Override
        byte[] bytes(CrowdPort port) {
            return chunked(port, 65_536, 8 << 20);
        }
    },
    /** A small body but for its last byte. */
    SMALL_BODY(Integer.MAX_VALUE) {
        @Override
        byte[] bytes(CrowdPort port) {
            return announced(port, 16_384, 16_383);
        }
    },
    /** A head without its end. */
    HEAD(Integer.MAX_VALUE) {
        @Override
        byte[] bytes(CrowdPort port) {
            byte[] head = port.head("X-Filler: " + "x".repeat(6_000));
            return Arrays.copyOf(head, head.length - 2);
        }
    },
    /** Many small requests whose answers are not read. */
    UNREAD_ANSWERS(65_536) {
        @Override
        byte[] bytes(CrowdPort port) {
            return repeat(port.smallRequest(), 2_000);
        }
    },
    /** Nothing. */
    NOTHING(Integer.MAX_VALUE) {
        @Override
        byte[] bytes(CrowdPort port) {
            return new byte[0];
        }
    },
    /** A frame but for its last byte. */
    FRAME(65_536) {
        @Override
        byte[] bytes(CrowdPort port) {
            return ByteBuffer.allocate(port.bodyBytes()).putInt(port.bodyBytes()).array();
        }
    },
    /** A frame in small pieces, a piece of each client in turn. */
    FRAME_IN_PIECES(2_048) {
        @Override
        byte[] bytes(CrowdPort port) {
            return ByteBuffer.allocate(65_536).putInt(65_536).array();
        }
    },
    /** A frame that is announced far over the limit. */
    FRAME_OVER_LIMIT(65_536) {
        @Override
        byte[] bytes(CrowdPort port) {
            return ByteBuffer.allocate(1 << 20).putInt(1 << 30).array();
        }
    },
    /** Many whole messages whose replies are not read. */
    UNREAD_REPLIES(65_536) {
        @Override
        byte[] bytes(CrowdPort port) {
            Body body = Body.configPull(new ConfigPull(0));
            Envelope message = new Envelope(1, false, "crowd", 1, body);
            return repeat(EnvelopeCodec.encode(message).getBytes(), 2_000);
        }
    },
    /** A short frame that announces a value of 96 MiB in it. */
    VALUE_OVER_FRAME(Integer.MAX_VALUE) {
        @Override
        byte[] bytes(CrowdPort port) {
            // The third field of the message, a string, in the compact protocol.
            byte[] message = {0x38, (byte) 0x80, (byte) 0x80, (byte) 0x80, 0x30, 0, 0, 0};
            return ByteBuffer.allocate(4 + message.length)
                    .putInt(message.length)
                    .put(message)
                    .array();
        }
    };

    private final int mPieceBytes;

    CrowdLoad(int pieceBytes) {
        mPieceBytes = pieceBytes;
    }

    /** Returns the bytes that a client sends to a port. */
    abstract byte[] bytes(CrowdPort port);

    /** Returns how many bytes a client sends before it is the next one's turn. */
    int pieceBytes() {
        return mPieceBytes;
    }

    private static byte[] announced(CrowdPort port, int announcedBytes, int sentBytes) {
        return join(port.head("Content-Length: " + announcedBytes), blanks(sentBytes));
    }

    private static byte[] chunked(CrowdPort port, int chunkBytes, int totalBytes) {
        byte[] length = (Integer.toHexString(chunkBytes) + "\r\n").getBytes(StandardCharsets.UTF_8);
        byte[] chunk = join(length, blanks(chunkBytes), "\r\n".getBytes(StandardCharsets.UTF_8));
        return join(
                port.head("Transfer-Encoding: chunked"), repeat(chunk, totalBytes / chunkBytes));
    }

    private static byte[] repeat(byte[] bytes, int count) {
        ByteBuffer all = ByteBuffer.allocate(bytes.length * count);
        while (all.hasRemaining()) {
            all.put(bytes);
        }
        return all.array();
    }

    private static byte[] blanks(int count) {
        byte[] blanks = new byte[count];
        Arrays.fill(blanks, (byte) ' ');
        return blanks;
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }
}
