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
 * Sends messages to one other daemon over a TCP connection and matches replies to them by id.
 *
 * <p>The connection is opened by the first message and reopened by the next message after it was
 * lost. A message that receives no reply within its timeout fails; the peer may have handled it.
 *
 * <p>Invariants: at most {@link #MAX_PENDING} messages await a reply.
 *
 * <p>This class is thread-safe; its state is confined to one event loop.
 */
public final class PeerConnection {
    /** Maximum number of messages that await a reply. */
    public static final int MAX_PENDING = 1_024;

    private final Vertx mVertx;
    private final Context mContext;
    private final NetClient mClient;
    private final String mLocalName;
    private final long mLocalIncarnation;
    private final String mHost;
    private final int mPort;
    private final AtomicLong mSentBytes;
    private final Map<Long, Promise<Body>> mPending = new HashMap<>();
    private Future<NetSocket> mSocket;
    private long mLastReceivedNanos = System.nanoTime();
    private long mNextId = 1;

    /**
     * Constructs a connection that is not open yet.
     *
     * @param vertx supplies the event loop, not null
     * @param client opens connections, not null
     * @param localName the name of this daemon, not null
     * @param localIncarnation the incarnation number of this daemon
     * @param host the IP address of the peer, not null
     * @param port the TCP port on which the peer accepts messages from other daemons
     * @param sentBytes counter to which the length of each sent frame is added, not null
     */
    public PeerConnection(
            Vertx vertx,
            NetClient client,
            String localName,
            long localIncarnation,
            String host,
            int port,
            AtomicLong sentBytes) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        mClient = client;
        mLocalName = localName;
        mLocalIncarnation = localIncarnation;
        mHost = host;
        mPort = port;
        mSentBytes = sentBytes;
    }

    /**
     * Sends a message to the peer.
     *
     * <p>The returned future fails with {@link ResultCode#DAEMON_UNREACHABLE} if the connection
     * fails or the timeout expires, with {@link ResultCode#RING_FULL} if too many messages await a
     * reply, and with {@link ResultCode#INTERNAL} if the peer replies with a failure.
     *
     * @param body the message, not null
     * @param timeoutMillis how long to wait for the reply, in milliseconds, at least 1
     * @return the reply
     */
    public Future<Body> send(Body body, long timeoutMillis) {
        Promise<Body> reply = Promise.promise();
        mContext.runOnContext(ignored -> sendOnContext(body, timeoutMillis, reply));
        return reply.future();
    }

    /** Closes the connection if there is one. Messages that await a reply on it fail. */
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
            reply.tryFail(
                    new EndivetrayException(ResultCode.RING_FULL, "too many pending messages"));
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
        Envelope envelope = new Envelope(id, false, mLocalName, mLocalIncarnation, body);
        connectedSocket()
                .onSuccess(socket -> write(socket, envelope))
                .onFailure(cause -> fail(id, "cannot connect: " + cause.getMessage()));
    }

    /**
     * Fails a message whose timeout expired, and closes the connection if nothing has been received
     * on it since the message was sent, so that the next message opens a new one.
     */
    private void onTimeout(long id, long sentNanos) {
        boolean isOpen = mSocket != null && mSocket.succeeded();
        boolean isUnresponsive = isOpen && mLastReceivedNanos - sentNanos < 0;
        fail(id, "no reply within the timeout");
        if (isUnresponsive) {
            NetSocket unresponsive = mSocket.result();
            mSocket = null;
            unresponsive.close();
        }
    }

    private void write(NetSocket socket, Envelope envelope) {
        var frame = EnvelopeCodec.encode(envelope);
        mSentBytes.addAndGet(frame.length());
        socket.write(frame);
    }

    private Future<NetSocket> connectedSocket() {
        if (mSocket == null) {
            mSocket = mClient.connect(mPort, mHost).map(this::onConnected);
            mSocket.onFailure(cause -> mSocket = null);
        }
        return mSocket;
    }

    private NetSocket onConnected(NetSocket socket) {
        // Messages may have been sent before the connection opened. Their timeouts must not close
        // it as unresponsive, so the time of opening counts as the last receipt.
        mLastReceivedNanos = System.nanoTime();
        FrameReader reader = new FrameReader(this::onReply);
        socket.handler(
                bytes -> {
                    mLastReceivedNanos = System.nanoTime();
                    try {
                        reader.onBytes(bytes);
                    } catch (RuntimeException e) {
                        socket.close();
                    }
                });
        socket.exceptionHandler(cause -> socket.close());
        socket.closeHandler(
                ignored -> {
                    reader.close();
                    onClosed(socket);
                });
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
