package org.endivetray.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.Envelope;

/**
 * Accepts messages from other daemons.
 *
 * <p>Invariants: each message that is not a reply gets one reply with its id.
 *
 * <p>This class is thread-safe.
 */
public final class PeerServer {
    private final NetServer mServer;
    private final String mName;
    private final long mIncarnation;
    private final MessageHandler mHandler;

    /**
     * Constructs a server that has not been started.
     *
     * @param vertx the event loops, not null
     * @param name this daemon's name, not null
     * @param incarnation this daemon's incarnation number
     * @param handler answers messages, not null
     */
    public PeerServer(Vertx vertx, String name, long incarnation, MessageHandler handler) {
        mServer = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        mName = name;
        mIncarnation = incarnation;
        mHandler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param host the IP number, not null
     * @param port the TCP port, 0 for any
     * @return the port
     */
    public Future<Integer> start(String host, int port) {
        mServer.connectHandler(this::serve);
        return mServer.listen(port, host).map(NetServer::actualPort);
    }

    /** Stops listening and closes all connections. */
    public Future<Void> stop() {
        return mServer.close();
    }

    private void serve(NetSocket socket) {
        FrameReader reader = new FrameReader(message -> answer(socket, message));
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

    private void answer(NetSocket socket, Envelope message) {
        mHandler.handle(message.getSender(), message.getIncarnation(), message.getBody())
                .otherwise(cause -> Body.failure(String.valueOf(cause.getMessage())))
                .onSuccess(
                        body ->
                                socket.write(
                                        EnvelopeCodec.encode(
                                                new Envelope(
                                                        message.getId(),
                                                        true,
                                                        mName,
                                                        mIncarnation,
                                                        body))));
    }
}
