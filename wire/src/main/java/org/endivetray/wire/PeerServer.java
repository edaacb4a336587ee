package org.endivetray.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.policy.intake.ConnectionTable;
import org.endivetray.policy.intake.IntakeBudget;
import org.endivetray.policy.intake.IntakeLimits;
import org.endivetray.policy.intake.IntakeReason;
import org.endivetray.policy.intake.ReadPacing;
import org.endivetray.policy.intake.ReplyBudget;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.Envelope;

/**
 * Accepts connections from other daemons and replies to the messages on them.
 *
 * <p>At the limit of connections those that have sent no whole message give way to new ones first,
 * then the one whose last message was answered longest ago; its peer opens another with its next
 * message. A peer's is also closed when nothing has been received on it for long.
 *
 * <p>Invariants: each message receives at most one reply, which carries the id of the message; the
 * bytes of incomplete frames and of unread replies, and the open connections, stay within the
 * limits; connections with many messages at once together get a bounded part of the time.
 *
 * <p>This class is thread-safe.
 */
public final class PeerServer {
    /** Size of the kernel's buffers of a connection, in bytes; frames are larger than requests. */
    private static final int SOCKET_BUFFER_BYTES = 64 * 1_024;

    /** Most bytes of replies that wait until a peer reads them. */
    private static final int MAX_UNREAD_BYTES = 2 * EnvelopeCodec.MAX_FRAME_BYTES;

    /**
     * Time without bytes from a peer after which its connection is closed, in seconds. A peer that
     * has failed may leave it half-open; one that lives opens another with its next message ({@link
     * PeerConnection}).
     */
    private static final int READ_IDLE_SECONDS = 600;

    /** Most messages of a connection that are handled before others have their turn. */
    private static final int MAX_MESSAGES_PER_TURN = 64;

    private final Vertx mVertx;
    private final NetServer mServer;
    private final ReadPacing mPacing = new ReadPacing();
    private final IntakeBudget mBudget;
    private final ReplyBudget<NetSocket> mReplies;
    private final ConnectionTable<NetSocket> mConnections;
    private final String mLocalName;
    private final long mLocalIncarnation;
    private final MessageHandler mHandler;
    private final Consumer<IntakeReason> mOnRefused;

    /**
     * Constructs a server that has not been started.
     *
     * @param vertx supplies the event loops, not null
     * @param localName the name of this daemon, not null
     * @param localIncarnation the incarnation number of this daemon
     * @param handler handles the messages, not null
     * @param limits what may be held of messages that are not complete, not null
     * @param onRefused learns why connections and messages are refused, not null
     */
    public PeerServer(
            Vertx vertx,
            String localName,
            long localIncarnation,
            MessageHandler handler,
            IntakeLimits limits,
            Consumer<IntakeReason> onRefused) {
        mVertx = vertx;
        mOnRefused = onRefused;
        mServer =
                vertx.createNetServer(
                        new NetServerOptions()
                                .setTcpNoDelay(true)
                                .setTcpKeepAlive(true)
                                .setAcceptBacklog(IntakeLimits.INNER_BACKLOG)
                                .setReceiveBufferSize(SOCKET_BUFFER_BYTES)
                                .setSendBufferSize(SOCKET_BUFFER_BYTES)
                                .setReadIdleTimeout(READ_IDLE_SECONDS)
                                .setIdleTimeoutUnit(TimeUnit.SECONDS));
        mLocalName = localName;
        mLocalIncarnation = localIncarnation;
        mHandler = handler;
        mBudget = new IntakeBudget(limits.bodyBytes());
        mReplies = new ReplyBudget<>(limits.bodyBytes());
        mConnections = new ConnectionTable<>(limits.innerConnections());
    }

    /**
     * Starts listening.
     *
     * @param host the IP address to bind, not null
     * @param port the TCP port, 0 for any free port
     * @return the port that was bound
     */
    public Future<Integer> start(String host, int port) {
        mServer.connectHandler(this::onConnection);
        return mServer.listen(port, host).map(NetServer::actualPort);
    }

    /** Stops listening and closes all connections. */
    public Future<Void> stop() {
        return mServer.close();
    }

    private void onConnection(NetSocket socket) {
        new Connection(socket).open();
        NetSocket chosen = mConnections.add(socket);
        if (chosen == socket) {
            mOnRefused.accept(IntakeReason.TOO_MANY_CONNECTIONS);
            closeNow(socket);
            return;
        }
        closeUnlessUsed(chosen);
        closeUnlessUsed(mConnections.chooseAboveLimit());
    }

    /**
     * Closes a connection on its event loop, which also receives its messages, or another one if it
     * has sent a whole message since.
     *
     * @param chosen the connection, null for none
     */
    private void closeUnlessUsed(NetSocket chosen) {
        if (chosen == null) {
            return;
        }
        ((NetSocketInternal) chosen)
                .channelHandlerContext()
                .executor()
                .execute(
                        () -> {
                            if (mConnections.giveWay(chosen)) {
                                mOnRefused.accept(IntakeReason.TOO_MANY_CONNECTIONS);
                                closeNow(chosen);
                            } else {
                                closeUnlessUsed(mConnections.chooseAboveLimit());
                            }
                        });
    }

    /**
     * Closes a connection at once. The socket's own method would first wait until the peer has read
     * what was written to it, which may never happen.
     */
    private static void closeNow(NetSocket socket) {
        ((NetSocketInternal) socket).channelHandlerContext().close();
    }

    /**
     * A connection of a peer.
     *
     * <p>This class is confined to the event loop of its connection.
     */
    private final class Connection {
        private final NetSocket mSocket;
        private final FrameReader mReader;
        private boolean mIsPaced;
        private boolean mIsPaused;
        private boolean mIsClosed;

        private Connection(NetSocket socket) {
            mSocket = socket;
            mReader = new FrameReader(this::onMessage, mBudget, this::onEvicted);
        }

        private void open() {
            mSocket.setWriteQueueMaxSize(MAX_UNREAD_BYTES);
            mSocket.closeHandler(ignored -> onClosed());
            mSocket.exceptionHandler(cause -> close());
            mSocket.handler(
                    bytes -> {
                        mReader.append(bytes);
                        readMessages();
                    });
        }

        /** Handles the messages of one turn; the rest waits, and nothing more is read meanwhile. */
        private void readMessages() {
            if (mIsClosed || mIsPaused) {
                return;
            }
            try {
                if (mReader.readMessages(MAX_MESSAGES_PER_TURN) == MAX_MESSAGES_PER_TURN) {
                    pause();
                } else {
                    endPacing();
                }
            } catch (EndivetrayException e) {
                if (e.code() == ResultCode.RING_FULL) {
                    mOnRefused.accept(IntakeReason.BUSY);
                }
                close();
            } catch (RuntimeException e) {
                close();
            }
        }

        private void onEvicted() {
            mOnRefused.accept(IntakeReason.TOO_SLOW);
            close();
        }

        private void pause() {
            if (!mIsPaced) {
                mIsPaced = true;
                mPacing.enter();
            }
            mIsPaused = true;
            mSocket.pause();
            mVertx.setTimer(Math.max(1, mPacing.pauseMillis()), ignored -> resume());
        }

        private void resume() {
            mIsPaused = false;
            readMessages();
            if (!mIsClosed && !mIsPaused) {
                mSocket.resume();
            }
        }

        private void endPacing() {
            if (mIsPaced) {
                mIsPaced = false;
                mPacing.leave();
            }
        }

        private void onMessage(Envelope message) {
            if (mIsClosed || mSocket.writeQueueFull()) {
                close();
                return;
            }
            long use = mConnections.enter(mSocket, ConnectionTable.Phase.IN_USE);
            mHandler.handle(message.getSender(), message.getIncarnation(), message.getBody())
                    .otherwise(cause -> Body.failure(String.valueOf(cause.getMessage())))
                    .onSuccess(
                            body -> {
                                send(mSocket, reply(message, body));
                                mConnections.leave(mSocket, use, ConnectionTable.Phase.KNOWN);
                            });
        }

        private void close() {
            mIsClosed = true;
            closeNow(mSocket);
        }

        private void onClosed() {
            mIsClosed = true;
            endPacing();
            mReader.close();
            mReplies.removeAll(mSocket);
            mConnections.remove(mSocket);
        }
    }

    private Buffer reply(Envelope message, Body body) {
        return EnvelopeCodec.encode(
                new Envelope(message.getId(), true, mLocalName, mLocalIncarnation, body));
    }

    private void send(NetSocket socket, Buffer frame) {
        int bytes = frame.length();
        NetSocket unread = mReplies.add(socket, bytes);
        if (unread != null) {
            mOnRefused.accept(IntakeReason.ANSWERS_NOT_READ);
            closeNow(unread);
        }
        if (unread != socket) {
            socket.write(frame).onComplete(ignored -> mReplies.remove(socket, bytes));
        }
    }
}
