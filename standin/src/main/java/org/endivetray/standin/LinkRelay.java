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
import org.endivetray.wire.InnerCodec;

/**
 * Stands between daemons and cuts the links between any two of them.
 *
 * <p>Each daemon has a port here that the others connect to. The first message on a connection
 * names its sender, so a link can be cut by the names of its ends.
 *
 * <p>This class is thread-safe; its state belongs to one event loop.
 */
public final class LinkRelay {
    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final NetClient mClient = mVertx.createNetClient();
    private final Map<String, Integer> mTargets = new TreeMap<>();
    private final Set<String> mCut = new HashSet<>();
    private final List<Link> mLinks = new ArrayList<>();

    /** Opens a port for each name and returns the ports. */
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

    /** Starts the port for commands and returns it. */
    public Future<Integer> startControl() {
        return mVertx.createHttpServer()
                .requestHandler(this::control)
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /** Stops listening. */
    public Future<Void> stop() {
        return mVertx.close();
    }

    /** Sets the port on which a daemon really listens. */
    public void setTarget(String name, int port) {
        mVertx.runOnContext(ignored -> mTargets.put(name, port));
    }

    /** Cuts the link between two daemons, both ways. */
    public void cut(String one, String other) {
        mVertx.runOnContext(
                ignored -> {
                    mCut.add(pair(one, other));
                    mLinks.removeIf(link -> link.closeIfCut(mCut));
                });
    }

    /** Mends all links. */
    public void restoreLinks() {
        mVertx.runOnContext(ignored -> mCut.clear());
    }

    private void control(HttpServerRequest request) {
        switch (request.path()) {
            case "/target" ->
                    setTarget(request.getParam("name"), Integer.parseInt(request.getParam("port")));
            case "/cut" -> cut(request.getParam("one"), request.getParam("other"));
            default -> restoreLinks();
        }
        request.response().end();
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    private void accept(String name, NetSocket from) {
        Buffer first = Buffer.buffer();
        from.handler(
                bytes -> {
                    first.appendBuffer(bytes);
                    String sender = senderOf(first);
                    if (sender != null) {
                        from.pause();
                        connect(sender, name, from, first);
                    }
                });
    }

    /** Returns the sender of the first message, or null if it is not whole yet. */
    private static String senderOf(Buffer bytes) {
        if (bytes.length() < InnerCodec.LENGTH_BYTES) {
            return null;
        }
        int end = InnerCodec.LENGTH_BYTES + bytes.getInt(0);
        if (bytes.length() < end) {
            return null;
        }
        return InnerCodec.decode(bytes.getBytes(InnerCodec.LENGTH_BYTES, end)).getSender();
    }

    private void connect(String sender, String name, NetSocket from, Buffer first) {
        if (mCut.contains(pair(sender, name)) || !mTargets.containsKey(name)) {
            from.close();
            return;
        }
        mClient.connect(mTargets.get(name), "127.0.0.1")
                .onFailure(cause -> from.close())
                .onSuccess(
                        to -> {
                            mLinks.add(new Link(pair(sender, name), from, to));
                            to.write(first);
                            from.handler(to::write);
                            to.handler(from::write);
                            from.closeHandler(ignored -> to.close());
                            to.closeHandler(ignored -> from.close());
                            from.resume();
                        });
    }

    /** A connection between two daemons. */
    private record Link(String pair, NetSocket from, NetSocket to) {
        boolean closeIfCut(Set<String> cut) {
            if (!cut.contains(pair)) {
                return false;
            }
            from.close();
            to.close();
            return true;
        }
    }
}
