package org.endivetray.daemon.membership;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.platform.intake.IntakeLog;
import org.endivetray.policy.intake.IntakeLimits;
import org.endivetray.wire.MessageHandler;
import org.endivetray.wire.PeerConnection;
import org.endivetray.wire.PeerServer;

/**
 * Opens connections to other daemons and counts the bytes sent over them.
 *
 * <p>This class is thread-safe.
 */
final class PeerLinks {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final Vertx mVertx;
    private final NetClient mClient;
    private final IntakeLimits mLimits;
    private final String mName;
    private final long mIncarnation;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final List<PeerConnection> mSeeds = new ArrayList<>();

    PeerLinks(Vertx vertx, Settings settings, long incarnation) {
        mVertx = vertx;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
        mLimits =
                IntakeLimits.ofHeap(Runtime.getRuntime().maxMemory())
                        .withInnerConnections(settings.number(SettingKey.INNER_CONNECTIONS));
        mName = settings.text(SettingKey.NAME);
        mIncarnation = incarnation;
        for (String seed : settings.text(SettingKey.INNER_PEERS).split(",")) {
            int colon = seed.lastIndexOf(':');
            if (colon > 0) {
                mSeeds.add(
                        open(
                                seed.substring(0, colon).trim(),
                                Integer.parseInt(seed.substring(colon + 1).trim())));
            }
        }
    }

    /** Returns a server for the messages of other daemons, which has not been started. */
    PeerServer newServer(MessageHandler handler, Metrics metrics) {
        IntakeLog log = new IntakeLog("inner", metrics::onRefusedBeforeReceipt);
        return new PeerServer(mVertx, mName, mIncarnation, handler, mLimits, log::onRefused);
    }

    /** Returns a connection to the address, which is opened on first use. */
    PeerConnection open(String host, int port) {
        return new PeerConnection(mVertx, mClient, mName, mIncarnation, host, port, mSentBytes);
    }

    /** Returns connections to the addresses in the settings, which need no stored registration. */
    List<PeerConnection> seeds() {
        return mSeeds;
    }

    long sentBytes() {
        return mSentBytes.get();
    }

    Future<Void> stop() {
        return mClient.close();
    }
}
