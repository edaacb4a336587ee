package org.endivetray.daemon.intake;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * Stops a server channel from accepting while too many of its connections are open.
 *
 * <p>Invariants: a connection counts from its acceptance until its descriptor is closed.
 *
 * <p>This class is thread-safe; its state is confined to the event loop of the server channel.
 */
final class AcceptGate extends ChannelInboundHandlerAdapter {
    private static final long TURN_MILLIS = 1;

    private final ServerChannel mServer;
    private IntConsumer mOnBound = port -> {};
    private int mLimit;
    private int mOpen;

    /**
     * Constructs a gate.
     *
     * @param server the server channel, not null
     * @param limit most open connections, at least 1
     */
    AcceptGate(ServerChannel server, int limit) {
        mServer = server;
        mLimit = limit;
    }

    /** Sets what learns the port of the channel; must be called before the channel is bound. */
    void whenBound(IntConsumer onBound) {
        mOnBound = onBound;
    }

    /** Sets the limit. */
    void setLimit(int limit) {
        mServer.eventLoop()
                .execute(
                        () -> {
                            mLimit = limit;
                            update();
                        });
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (mServer.localAddress() instanceof InetSocketAddress address) {
            mOnBound.accept(address.getPort());
        }
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel connection = (Channel) message;
        mOpen++;
        connection.closeFuture().addListener(ignored -> onClosed(connection));
        update();
        context.fireChannelRead(message);
    }

    /**
     * Handles a closed connection. Its descriptor is closed by the next select of its event loop. A
     * timer may still fire in the turn in which it is set; one that is set by a timer fires after
     * the next select.
     */
    private void onClosed(Channel connection) {
        schedule(connection, () -> schedule(connection, this::onDescriptorClosed));
    }

    private static void schedule(Channel connection, Runnable task) {
        if (!connection.eventLoop().isShuttingDown()) {
            connection.eventLoop().schedule(task, TURN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onDescriptorClosed() {
        if (!mServer.eventLoop().isShuttingDown()) {
            mServer.eventLoop()
                    .execute(
                            () -> {
                                mOpen--;
                                update();
                            });
        }
    }

    private void update() {
        mServer.config().setAutoRead(mOpen < mLimit);
    }
}
