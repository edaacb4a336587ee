package org.endivetray.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.wire.EnvelopeCodec;

/**
 * Relays the connections between daemons and cuts the link between any two of them on request.
 *
 * <p>The relay has a port for each daemon, to which the other daemons connect. The first message on
 * a connection names its sender, so that the relay knows which two daemons it links.
 *
 * <p>This class is thread-safe; its state is confined to one event loop.
 */
public final class LinkRelay {
    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final NetClient mClient = mVertx.createNetClient();
    private final Map<String, Integer> mTargets = new TreeMap<>();
    private final Set<String> mCutLinks = new HashSet<>();
    private final List<RelayedConnection> mConnections = new ArrayList<>();

    /** Opens a port for each daemon name and returns the ports by name. */
    public Future<Map<String, Integer>> start(List<String> names) {
        Map<String, Integer> ports = new TreeMap<>();
        List<Future<?>> started = new ArrayList<>();
        for (String name : names) {
            started.add(
                    mVertx.createNetServer()
                            .connectHandler(socket -> accept(name, socket))
                            .listen(0, "127.0.0.1")
                            .map(NetServer::actualPort)
                            .onSuccess(port -> ports.put(name, port)));
        }
        return Future.all(started).map(ports);
    }

    /** Starts the HTTP server for commands and returns its port. */
    public Future<Integer> startControl() {
        return mVertx.createHttpServer()
                .requestHandler(this::handleCommand)
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /** Closes all ports and connections. */
    public Future<Void> stop() {
        return mVertx.close();
    }

    /** Sets the port to which the connections to a daemon are relayed. */
    public void setTarget(String name, int port) {
        mVertx.runOnContext(ignored -> mTargets.put(name, port));
    }

    /** Cuts the link between two daemons in both directions and closes its connections. */
    public void cut(String one, String other) {
        mVertx.runOnContext(
                ignored -> {
                    mCutLinks.add(linkName(one, other));
                    mConnections.removeIf(connection -> connection.closeIfCut(mCutLinks));
                });
    }

    /** Restores all links. */
    public void restoreLinks() {
        mVertx.runOnContext(ignored -> mCutLinks.clear());
    }

    private void handleCommand(HttpServerRequest request) {
        switch (request.path()) {
            case "/target" ->
                    setTarget(request.getParam("name"), Integer.parseInt(request.getParam("port")));
            case "/cut" -> cut(request.getParam("one"), request.getParam("other"));
            default -> restoreLinks();
        }
        request.response().end();
    }

    private static String linkName(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    private void accept(String receiver, NetSocket incoming) {
        Buffer firstBytes = Buffer.buffer();
        incoming.handler(
                bytes -> {
                    firstBytes.appendBuffer(bytes);
                    String sender = senderOf(firstBytes);
                    if (sender != null) {
                        incoming.pause();
                        connect(sender, receiver, incoming, firstBytes);
                    }
                });
    }

    /** Returns the sender of the first message, or null if the message is incomplete. */
    private static String senderOf(Buffer bytes) {
        if (bytes.length() < EnvelopeCodec.LENGTH_PREFIX_BYTES) {
            return null;
        }
        int end = EnvelopeCodec.LENGTH_PREFIX_BYTES + bytes.getInt(0);
        if (bytes.length() < end) {
            return null;
        }
        return EnvelopeCodec.decode(bytes.getBytes(EnvelopeCodec.LENGTH_PREFIX_BYTES, end))
                .getSender();
    }

    private void connect(String sender, String receiver, NetSocket incoming, Buffer firstBytes) {
        if (mCutLinks.contains(linkName(sender, receiver)) || !mTargets.containsKey(receiver)) {
            incoming.close();
            return;
        }
        mClient.connect(mTargets.get(receiver), "127.0.0.1")
                .onFailure(cause -> incoming.close())
                .onSuccess(
                        outgoing -> {
                            mConnections.add(
                                    new RelayedConnection(
                                            linkName(sender, receiver), incoming, outgoing));
                            outgoing.write(firstBytes);
                            incoming.handler(outgoing::write);
                            outgoing.handler(incoming::write);
                            incoming.closeHandler(ignored -> outgoing.close());
                            outgoing.closeHandler(ignored -> incoming.close());
                            incoming.resume();
                        });
    }

    /** A relayed connection between two daemons. */
    private record RelayedConnection(String linkName, NetSocket incoming, NetSocket outgoing) {
        boolean closeIfCut(Set<String> cutLinks) {
            if (!cutLinks.contains(linkName)) {
                return false;
            }
            incoming.close();
            outgoing.close();
            return true;
        }
    }
}
