package org.endivetray.daemon.intake;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that the acceptor of a port stops at its limit and goes on when connections are closed.
 *
 * <p>This class is not thread-safe.
 */
class AcceptLimitsTest {
    private static final int CLIENTS = 60;
    private static final int LIMIT = 4;

    /** Connections that are accepted above the limit to take the place of others. */
    private static final int REPLACEMENTS = 16;

    private static final int MAX_POLLS = 1_000;

    private final AcceptLimits mLimits = new AcceptLimits();
    private final Vertx mVertx = mLimits.newVertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Queue<NetSocket> mAccepted = new ConcurrentLinkedQueue<>();
    private final List<Socket> mClients = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (Socket client : mClients) {
            client.close();
        }
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private int listen() throws Exception {
        NetServer server =
                mVertx.createNetServer()
                        .connectHandler(mAccepted::add)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);
        return server.actualPort();
    }

    private void connect(int port) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            mClients.add(new Socket("127.0.0.1", port));
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    @Test
    void connectionsAboveTheLimitWaitUntilOthersAreClosed() throws Exception {
        int port = listen();
        mLimits.setLimit(port, LIMIT);
        connect(port);
        await(() -> mAccepted.size() == LIMIT + REPLACEMENTS);
        Thread.sleep(100);
        assertThat(mAccepted).hasSize(LIMIT + REPLACEMENTS);
        mAccepted.forEach(NetSocket::close);
        await(() -> mAccepted.size() == 2 * (LIMIT + REPLACEMENTS));
    }

    @Test
    void aPortWhoseLimitIsNotSetAcceptsFew() throws Exception {
        connect(listen());
        await(() -> mAccepted.size() == REPLACEMENTS);
        Thread.sleep(100);
        assertThat(mAccepted).hasSize(REPLACEMENTS);
    }

    @Test
    void anAcceptorThatIsAheadOfABusyEventLoopStopsAtTheLimit() throws Exception {
        int port = listen();
        mLimits.setLimit(port, LIMIT);
        CountDownLatch busy = new CountDownLatch(1);
        mVertx.runOnContext(
                ignored -> {
                    try {
                        busy.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        connect(port);
        Thread.sleep(100);
        busy.countDown();
        await(() -> mAccepted.size() >= LIMIT + REPLACEMENTS);
        Thread.sleep(100);
        assertThat(mAccepted).hasSize(LIMIT + REPLACEMENTS);
    }
}
