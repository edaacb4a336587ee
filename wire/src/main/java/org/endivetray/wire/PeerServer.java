package org.endivetray.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.Envelope;

/**
 * Accepts connections from other daemons and replies to the messages on them.
 *
 * <p>Invariants: each message receives at most one reply, which carries the id of the message.
 *
 * <p>This class is thread-safe.
 */
public final class PeerServer {
    private final NetServer mServer;
    private final String mLocalName;
    private final long mLocalIncarnation;
    private final MessageHandler mHandler;

    /**
     * Constructs a server that has not been started.
     *
     * @param vertx supplies the event loops, not null
     * @param localName the name of this daemon, not null
     * @param localIncarnation the incarnation number of this daemon
     * @param handler handles the messages, not null
     */
    public PeerServer(
            Vertx vertx, String localName, long localIncarnation, MessageHandler handler) {
        mServer = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        mLocalName = localName;
        mLocalIncarnation = localIncarnation;
        mHandler = handler;
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
        FrameReader reader = new FrameReader(message -> reply(socket, message));
        socket.handler(
                bytes -> {
                    try {
                        reader.onBytes(bytes);
                    } catch (RuntimeException e) {
                        socket.close();
                    }
                });
        socket.exceptionHandler(cause -> socket.close());
    }

    private void reply(NetSocket socket, Envelope message) {
        mHandler.handle(message.getSender(), message.getIncarnation(), message.getBody())
                .otherwise(cause -> Body.failure(String.valueOf(cause.getMessage())))
                .onSuccess(
                        body ->
                                socket.write(
                                        EnvelopeCodec.encode(
                                                new Envelope(
                                                        message.getId(),
                                                        true,
                                                        mLocalName,
                                                        mLocalIncarnation,
                                                        body))));
    }
}
