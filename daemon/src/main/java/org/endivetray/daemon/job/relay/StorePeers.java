package org.endivetray.daemon.job.relay;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.ownership.OwnershipView.DaemonRecord;
import org.endivetray.daemon.job.peer.PeerClient;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.StoreCall;
import org.endivetray.wire.gen.StoreReply;
import org.endivetray.wire.gen.StoreStatus;

/**
 * Sends calls of the shared store to the daemons that may reach it.
 *
 * <p>The daemon that has reached the store last is asked first, then others at random.
 *
 * <p>Invariants: a call that a daemon has left unanswered is not sent to another one, since it may
 * have been made.
 *
 * <p>This class is thread-safe.
 */
public final class StorePeers {
    /** Most daemons that are asked for one call. */
    private static final int MAX_TRIES = 4;

    private final String mName;
    private final Supplier<OwnershipView> mView;
    private final PeerClient mPeers;
    private final Random mRandom;
    private volatile String mPreferred = "";

    /**
     * Constructs an instance.
     *
     * @param name this daemon's name, not null
     * @param view supplies the live daemons as known last, not null
     * @param peers sends messages to them, not null
     */
    public StorePeers(String name, Supplier<OwnershipView> view, PeerClient peers) {
        this(name, view, peers, new Random());
    }

    /**
     * Constructs an instance that asks the daemons in a given random order.
     *
     * @param name this daemon's name, not null
     * @param view supplies the live daemons as known last, not null
     * @param peers sends messages to them, not null
     * @param random determines the order, not null
     */
    public StorePeers(String name, Supplier<OwnershipView> view, PeerClient peers, Random random) {
        mName = name;
        mView = view;
        mPeers = peers;
        mRandom = random;
    }

    /**
     * Sends a call to one daemon after another until one reaches the store.
     *
     * @param call the call, not null
     * @param timeoutMillis time limit of one try, in milliseconds
     * @return the reply, {@code NOT_REACHED} if certainly nothing was done, {@code UNKNOWN} if a
     *     daemon did not answer
     */
    Future<StoreReply> send(StoreCall call, long timeoutMillis) {
        return tryNext(call, timeoutMillis, targets());
    }

    private Future<StoreReply> tryNext(
            StoreCall call, long timeoutMillis, List<DaemonRecord> targets) {
        if (targets.isEmpty()) {
            return Future.succeededFuture(StoreMessages.reply(StoreStatus.NOT_REACHED));
        }
        DaemonRecord target = targets.get(0);
        return mPeers.send(target, Body.storeCall(call), timeoutMillis)
                .map(Body::getStoreReply)
                .otherwise(StoreMessages.reply(StoreStatus.UNKNOWN))
                .compose(
                        reply -> {
                            if (reply.getStatus() == StoreStatus.NOT_REACHED) {
                                return tryNext(
                                        call, timeoutMillis, targets.subList(1, targets.size()));
                            }
                            boolean isReached = reply.getStatus() != StoreStatus.UNKNOWN;
                            mPreferred = isReached ? target.name() : "";
                            return Future.succeededFuture(reply);
                        });
    }

    private List<DaemonRecord> targets() {
        Map<String, DaemonRecord> daemons = mView.get().daemons();
        List<DaemonRecord> targets = new ArrayList<>(new TreeMap<>(daemons).values());
        targets.removeIf(daemon -> daemon.name().equals(mName));
        Collections.shuffle(targets, mRandom);
        DaemonRecord preferred = daemons.get(mPreferred);
        if (preferred != null) {
            targets.remove(preferred);
            targets.add(0, preferred);
        }
        return targets.subList(0, Math.min(MAX_TRIES, targets.size()));
    }
}
