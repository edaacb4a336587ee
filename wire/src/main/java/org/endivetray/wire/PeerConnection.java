package org.endivetray.wire;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.Envelope;

/**
 * Sends messages to one other daemon over one connection and matches replies by id.
 *
 * <p>The connection is opened when a message needs it and again after it was lost. A message whose
 * reply does not arrive in time fails; it may have been handled.
 *
 * <p>Invariants: at most {@link #MAX_PENDING} messages wait for replies.
 *
 * <p>This class is thread-safe; its state belongs to one event loop.
 */
public final class PeerConnection {
    /** Highest number of messages that wait for replies. */
    public static final int MAX_PENDING = 1_024;

    private final Vertx mVertx;
    private final Context mContext;
    private final NetClient mClient;
    private final String mName;
    private final long mIncarnation;
    private final String mHost;
    private final int mPort;
    private final AtomicLong mSentBytes;
    private final Map<Long, Promise<Body>> mPending = new HashMap<>();
    private Future<NetSocket> mSocket;
    private long mReceivedNanos = System.nanoTime();
    private long mNextId = 1;

    /**
     * Constructs a peer without opening a connection.
     *
     * @param vertx the event loops, not null
     * @param client opens connections, not null
     * @param name this daemon's name, not null
     * @param incarnation this daemon's incarnation number
     * @param host the peer's IP number, not null
     * @param port the peer's inner port
     * @param sentBytes counts the bytes sent, not null
     */
    public PeerConnection(
            Vertx vertx,
            NetClient client,
            String name,
            long incarnation,
            String host,
            int port,
            AtomicLong sentBytes) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        mClient = client;
        mName = name;
        mIncarnation = incarnation;
        mHost = host;
        mPort = port;
        mSentBytes = sentBytes;
    }

    /**
     * Sends a message.
     *
     * @param body the message, not null
     * @param timeoutMillis time to wait for the reply, in milliseconds
     * @return the reply
     */
    public Future<Body> send(Body body, long timeoutMillis) {
        Promise<Body> reply = Promise.promise();
        mContext.runOnContext(ignored -> sendOnContext(body, timeoutMillis, reply));
        return reply.future();
    }

    /** Closes the connection; waiting messages fail. */
    public void stop() {
        mContext.runOnContext(
                ignored -> {
                    if (mSocket != null) {
                        mSocket.onSuccess(NetSocket::close);
                    }
                });
    }

    private void sendOnContext(Body body, long timeoutMillis, Promise<Body> reply) {
        if (mPending.size() >= MAX_PENDING) {
            reply.tryFail(new EndivetrayException(ResultCode.RING_FULL, "too many messages"));
            return;
        }
        long id = mNextId++;
        mPending.put(id, reply);
        long sentNanos = System.nanoTime();
        long timer = mVertx.setTimer(timeoutMillis, ignored -> onTimeout(id, sentNanos));
        reply.future()
                .onComplete(
                        ignored -> {
                            mVertx.cancelTimer(timer);
                            mPending.remove(id);
                        });
        Envelope envelope = new Envelope(id, false, mName, mIncarnation, body);
        socket().onSuccess(socket -> write(socket, envelope))
                .onFailure(cause -> fail(id, "cannot connect: " + cause.getMessage()));
    }

    /** Fails a message, and replaces a connection on which nothing has arrived since. */
    private void onTimeout(long id, long sentNanos) {
        boolean isOpen = mSocket != null && mSocket.succeeded();
        boolean isSilent = isOpen && mReceivedNanos - sentNanos < 0;
        fail(id, "no reply in time");
        if (isSilent) {
            NetSocket silent = mSocket.result();
            mSocket = null;
            silent.close();
        }
    }

    private void write(NetSocket socket, Envelope envelope) {
        var frame = EnvelopeCodec.encode(envelope);
        mSentBytes.addAndGet(frame.length());
        socket.write(frame);
    }

    private Future<NetSocket> socket() {
        if (mSocket == null) {
            mSocket = mClient.connect(mPort, mHost).map(this::opened);
            mSocket.onFailure(cause -> mSocket = null);
        }
        return mSocket;
    }

    private NetSocket opened(NetSocket socket) {
        // A connection that opens late has not been silent for the messages that waited for it.
        mReceivedNanos = System.nanoTime();
        FrameReader reader = new FrameReader(this::onReply);
        socket.handler(
                bytes -> {
                    mReceivedNanos = System.nanoTime();
                    try {
                        reader.onBytes(bytes);
                    } catch (RuntimeException e) {
                        socket.close();
                    }
                });
        socket.exceptionHandler(cause -> socket.close());
        socket.closeHandler(ignored -> onClosed(socket));
        return socket;
    }

    private void onReply(Envelope envelope) {
        Promise<Body> reply = mPending.get(envelope.getId());
        if (reply == null) {
            return;
        }
        if (envelope.getBody().isSetFailure()) {
            reply.tryFail(
                    new EndivetrayException(ResultCode.INTERNAL, envelope.getBody().getFailure()));
        } else {
            reply.tryComplete(envelope.getBody());
        }
    }

    private void onClosed(NetSocket socket) {
        boolean isCurrent = mSocket != null && mSocket.result() == socket;
        if (mSocket != null && !isCurrent) {
            return;
        }
        mSocket = null;
        for (Long id : List.copyOf(mPending.keySet())) {
            fail(id, "connection closed");
        }
    }

    private void fail(long id, String reason) {
        Promise<Body> reply = mPending.get(id);
        if (reply != null) {
            reply.tryFail(
                    new EndivetrayException(
                            ResultCode.DAEMON_UNREACHABLE, mHost + ":" + mPort + ": " + reason));
        }
    }
}
