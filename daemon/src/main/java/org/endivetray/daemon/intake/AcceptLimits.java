package org.endivetray.daemon.intake;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.endivetray.policy.intake.IntakeLimits;

/**
 * Bounds how many accepted connections each listening port of a daemon has open.
 *
 * <p>A server counts a connection on the event loop that handles it, which may be far behind the
 * acceptor. The acceptor therefore stops at a limit of its own; connections above it wait in the
 * backlog of the port, where they take no descriptor and little memory.
 *
 * <p>Invariants: a port has at most its limit of accepted connections open; a port without a limit
 * of its own has a small one.
 *
 * <p>This class is thread-safe.
 */
public final class AcceptLimits {
    /**
     * Connections above the limit of a port's own table, which are accepted to take the place of
     * others.
     */
    private static final int REPLACEMENTS = 16;

    private static final int INITIAL_LIMIT = 16;

    /** Limits and gates by port; a limit may be set before its gate learns that it is bound. */
    private final Map<Integer, Integer> mLimits = new ConcurrentHashMap<>();

    private final Map<Integer, AcceptGate> mGates = new ConcurrentHashMap<>();

    /**
     * Returns event loops whose servers have the limits.
     *
     * @param options the options of the event loops, not null
     */
    public Vertx newVertx(VertxOptions options) {
        return Vertx.builder().with(options).withTransport(new LimitedTransport()).build();
    }

    /**
     * Sets the limit of a port on which a server listens.
     *
     * @param port the port
     * @param connections most connections that the server itself keeps
     */
    public void setLimit(int port, int connections) {
        mLimits.put(port, connections + REPLACEMENTS);
        applyLimit(port);
    }

    private void onBound(int port, AcceptGate gate) {
        mGates.put(port, gate);
        applyLimit(port);
    }

    private void applyLimit(int port) {
        AcceptGate gate = mGates.get(port);
        Integer limit = mLimits.get(port);
        if (gate != null && limit != null) {
            gate.setLimit(limit);
        }
    }

    private NioServerSocketChannel newServerChannel() {
        NioServerSocketChannel channel = new NioServerSocketChannel();
        // One at a time, since a read accepts all that it may before the gate sees the first.
        channel.config().setMaxMessagesPerRead(1);
        channel.config().setReceiveBufferSize(IntakeLimits.SOCKET_BUFFER_BYTES);
        AcceptGate gate = new AcceptGate(channel, INITIAL_LIMIT);
        channel.pipeline().addLast("accept gate", gate);
        gate.whenBound(port -> onBound(port, gate));
        return channel;
    }

    /** The transport of the Java runtime, whose server channels have the limits. */
    private final class LimitedTransport extends NioTransport implements Transport {
        @Override
        public String name() {
            return "limited";
        }

        @Override
        public boolean available() {
            return true;
        }

        @Override
        public Throwable unavailabilityCause() {
            return null;
        }

        @Override
        public io.vertx.core.spi.transport.Transport implementation() {
            return this;
        }

        @Override
        public ChannelFactory<? extends ServerChannel> serverChannelFactory(
                boolean isDomainSocket) {
            return isDomainSocket
                    ? super.serverChannelFactory(true)
                    : AcceptLimits.this::newServerChannel;
        }
    }
}
