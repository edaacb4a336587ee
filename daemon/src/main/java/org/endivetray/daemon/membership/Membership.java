package org.endivetray.daemon.membership;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.daemon.state.Registration;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateView;
import org.endivetray.policy.RendezvousHash;
import org.endivetray.wire.EnvelopeCodec;
import org.endivetray.wire.MessageHandler;
import org.endivetray.wire.PeerConnection;
import org.endivetray.wire.PeerServer;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.Envelope;
import org.endivetray.wire.gen.Heartbeat;
import org.endivetray.wire.gen.Relay;

/**
 * Tracks the other daemons by their heartbeats and carries messages between them.
 *
 * <p>A daemon is present from its registration until it has left or can have no request in flight.
 * It is live while this daemon, or a peer that this daemon hears, receives its heartbeats.
 * Ownership of work is spread over live daemons; it only saves work, and no safety property depends
 * on it. A message to a peer that cannot be reached directly is relayed by a peer that hears it.
 *
 * <p>Invariants: {@link #live()} contains this daemon.
 *
 * <p>This class is thread-safe.
 */
public final class Membership {
    private static final Logger LOGGER = System.getLogger(Membership.class.getName());
    private static final int RING_ENTRIES = 4_096;
    private static final long TICK_MILLIS = 100;
    private static final int MISSED_HEARTBEATS = 3;
    private static final long MESSAGE_TIMEOUT_MILLIS = 1_000;

    private final Settings mSettings;
    private final StateView mView;
    private final Metrics mMetrics;
    private final String mName;
    private final long mIncarnation;
    private final PeerServer mServer;
    private final Duty mDuty;
    private final Map<String, PeerState> mPeers = new TreeMap<>();
    private final PeerLinks mLinks;
    private final long mHeartbeatNanos;
    private final long mSuspectNanos;
    private final long mGoneNanos;
    private final ConfigExchange mConfigExchange;
    private volatile MembershipView mDaemons;
    private volatile Supplier<StoppedWorkers> mStoppedWorkersSource = () -> StoppedWorkers.NONE;
    private volatile MessageHandler mApplicationHandler =
            (sender, incarnation, body) -> Future.failedFuture("no application handler is set");
    private volatile boolean mStopping;
    private volatile int mPort;
    private final PeerDiscovery mDiscovery;
    private long mLastHeartbeatNanos;
    private long mLastPullNanos;

    /**
     * Constructs a membership that has not been started.
     *
     * @param vertx the event loops, not null
     * @param settings the validated settings, not null
     * @param view the stored state, not null
     * @param metrics counts messages, not null
     * @param incarnation rises with each start of this daemon
     */
    public Membership(
            Vertx vertx, Settings settings, StateView view, Metrics metrics, long incarnation) {
        mSettings = settings;
        mView = view;
        mMetrics = metrics;
        mName = settings.text(SettingKey.NAME);
        mIncarnation = incarnation;
        mLinks = new PeerLinks(vertx, settings, incarnation);
        mServer = mLinks.newServer(this::onMessage, metrics);
        mDuty = new Duty("membership", RING_ENTRIES, TICK_MILLIS, this::tick);
        mHeartbeatNanos = TimeUnit.MILLISECONDS.toNanos(settings.number(SettingKey.HEARTBEAT));
        mSuspectNanos = MISSED_HEARTBEATS * mHeartbeatNanos;
        mDiscovery = new PeerDiscovery(mHeartbeatNanos, mSuspectNanos);
        mGoneNanos =
                TimeUnit.MILLISECONDS.toNanos(
                        settings.number(SettingKey.LEASE)
                                + settings.number(SettingKey.MAX_DEADLINE));
        mConfigExchange = new ConfigExchange(view);
        mDaemons = MembershipView.ofSelf(mName);
    }

    /** Starts listening and sending heartbeats, and returns the port. */
    public Future<Integer> start() {
        return mServer.start(
                        mSettings.text(SettingKey.INNER_HOST),
                        mSettings.number(SettingKey.INNER_PORT))
                .onSuccess(
                        port -> {
                            mPort = port;
                            mView.addListener(snapshot -> mDuty.submit(() -> onSnapshot(snapshot)));
                            mDuty.start();
                        });
    }

    /** Stops heartbeats and closes all connections. */
    public Future<Void> stop() {
        mDuty.stop();
        return mServer.stop().compose(ignored -> mLinks.stop());
    }

    /** Stops only the thread, as if the process were killed. */
    public void stopThread() {
        mDuty.stop();
    }

    /** Announces in heartbeats that this daemon is about to leave. */
    public void markStopping() {
        mStopping = true;
    }

    /** Sets the handler of messages that do not concern membership. */
    public void setApplicationHandler(MessageHandler handler) {
        mApplicationHandler = handler;
    }

    /** Sets the supplier of the workers to which this daemon sends no new work. */
    public void setStoppedWorkersSource(Supplier<StoppedWorkers> source) {
        mStoppedWorkersSource = source;
    }

    /** Returns this daemon's registration. */
    public Registration self() {
        return new Registration(
                mName,
                mIncarnation,
                mSettings.text(SettingKey.ZONE),
                mSettings.text(SettingKey.INNER_HOST),
                advertisedPort(),
                false);
    }

    private int advertisedPort() {
        int advertised = mSettings.number(SettingKey.INNER_ADVERTISED);
        return advertised == 0 ? mPort : advertised;
    }

    /** Returns the names of the live daemons, this one included. */
    public Set<String> live() {
        return mDaemons.live();
    }

    /** Returns the names of the daemons that may still have requests in flight. */
    public Set<String> present() {
        return mDaemons.present();
    }

    /**
     * Returns whether this daemon has discovered its peers.
     *
     * <p>Until then it may see itself as the only daemon, and must own nothing.
     */
    public boolean isDiscoveryComplete() {
        return mDiscovery.isComplete();
    }

    /** Returns whether this daemon is on the smaller side of a partition between daemons. */
    public boolean isMinority() {
        return mDiscovery.isComplete() && mDaemons.isMinority();
    }

    /** Returns the number of daemons that hold a lease but cannot be reached. */
    public int unreachableCount() {
        return mDaemons.unreachable().size();
    }

    /** Returns the live daemon that owns the key. */
    public String owner(String key) {
        return RendezvousHash.owner(key, mDaemons.live()).orElse(mName);
    }

    /** Returns the configuration revision that each live daemon has in force. */
    public Map<String, Long> configRevisions() {
        Map<String, Long> revisions = new TreeMap<>(mDaemons.configRevisions());
        revisions.keySet().retainAll(mDaemons.live());
        revisions.put(mName, mView.snapshot().revision());
        return revisions;
    }

    /** Returns the number of bytes sent to peers. */
    public long sentBytes() {
        return mLinks.sentBytes();
    }

    /**
     * Returns the present daemons that have not acknowledged that a worker is idle.
     *
     * @param worker the worker's name, not null
     * @param epoch epoch at which the host record stopped new work on the worker
     */
    public List<String> missingIdleAcks(String worker, long epoch) {
        List<String> missing = new ArrayList<>();
        for (String daemon : mDaemons.present()) {
            StoppedWorkers stopped =
                    daemon.equals(mName)
                            ? mStoppedWorkersSource.get()
                            : mDaemons.stoppedWorkers().getOrDefault(daemon, StoppedWorkers.NONE);
            if (!stopped.isIdle(worker, epoch)) {
                missing.add(daemon);
            }
        }
        return missing;
    }

    /**
     * Sends a message to a daemon, relayed by a peer if necessary.
     *
     * @param daemon the receiver's name, not null
     * @param body the message, not null
     * @return the reply
     */
    public Future<Body> send(String daemon, Body body) {
        if (daemon.equals(mName)) {
            return mApplicationHandler.handle(mName, mIncarnation, body);
        }
        mMetrics.onInnerMessage();
        return Future.fromCompletionStage(mDuty.call(() -> route(daemon)))
                .compose(
                        route ->
                                route.isDirect()
                                        ? route.link().send(body, MESSAGE_TIMEOUT_MILLIS)
                                        : route.link()
                                                .send(
                                                        toRelay(daemon, body),
                                                        MESSAGE_TIMEOUT_MILLIS));
    }

    /** Requests the records that this daemon lacks from all peers, and awaits the first reply. */
    public Future<Void> pullFromPeers() {
        return Future.fromCompletionStage(mDuty.call(this::links))
                .compose(links -> Future.any(links.stream().map(this::pull).toList()))
                .mapEmpty();
    }

    private List<PeerConnection> links() {
        List<PeerConnection> links = new ArrayList<>(mLinks.seeds());
        mPeers.values().forEach(peer -> links.add(peer.link()));
        return links;
    }

    private Body toRelay(String daemon, Body body) {
        Envelope envelope = new Envelope(0, false, mName, mIncarnation, body);
        return Body.relay(
                new Relay(daemon, ByteBuffer.wrap(EnvelopeCodec.encodePayload(envelope))));
    }

    private PeerRoute route(String daemon) {
        return PeerRoute.to(daemon, mPeers, System.nanoTime(), mSuspectNanos);
    }

    private void onSnapshot(Snapshot snapshot) {
        Set<String> stored = new HashSet<>();
        for (Registration registration : snapshot.daemons()) {
            stored.add(registration.name());
            if (registration.left()) {
                dropPeer(registration);
            } else {
                addPeer(registration);
            }
        }
        if (snapshot.revision() > 0) {
            dropUnregistered(stored);
        }
    }

    private void dropPeer(Registration registration) {
        PeerState known = mPeers.get(registration.name());
        if (known != null && known.registration().incarnation() <= registration.incarnation()) {
            mPeers.remove(registration.name());
            known.link().stop();
        }
    }

    /** Drops peers that are no longer registered and can have no request in flight. */
    private void dropUnregistered(Set<String> stored) {
        long now = System.nanoTime();
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !stored.contains(entry.getKey())
                                        && !entry.getValue().isFresh(now, mGoneNanos));
    }

    private void addPeer(Registration registration) {
        if (registration.name().equals(mName)) {
            return;
        }
        PeerState known = mPeers.get(registration.name());
        if (known != null && known.registration().incarnation() >= registration.incarnation()) {
            return;
        }
        if (known != null) {
            known.link().stop();
        }
        PeerConnection link = mLinks.open(registration.innerHost(), registration.innerPort());
        mPeers.put(registration.name(), new PeerState(registration, link, System.nanoTime()));
        LOGGER.log(
                Level.INFO,
                () ->
                        "member: daemon joined daemon="
                                + registration.name()
                                + " incarnation="
                                + registration.incarnation());
        sendHeartbeat(registration.name(), link);
    }

    private void tick() {
        long now = System.nanoTime();
        if (now - mLastHeartbeatNanos >= mHeartbeatNanos) {
            mLastHeartbeatNanos = now;
            sendHeartbeats();
        }
        updateView(now);
        pullIfBehind(now);
    }

    /** Sends heartbeats to peers not heard or with a higher name; replies carry the peers' own. */
    private void sendHeartbeats() {
        for (Map.Entry<String, PeerState> peer : mPeers.entrySet()) {
            boolean unheard = !peer.getValue().isHeard(System.nanoTime(), mSuspectNanos);
            if (unheard || peer.getKey().compareTo(mName) > 0) {
                sendHeartbeat(peer.getKey(), peer.getValue().link());
            }
            if (unheard) {
                sendHeartbeatByRelay(peer.getKey());
            }
        }
        if (mPeers.isEmpty()) {
            mLinks.seeds().forEach(seed -> sendHeartbeat("", seed));
        }
    }

    private void sendHeartbeat(String daemon, PeerConnection link) {
        Body body = Body.heartbeat(ownHeartbeat());
        mMetrics.onInnerMessage();
        link.send(body, MESSAGE_TIMEOUT_MILLIS)
                .onSuccess(
                        reply -> {
                            if (reply.isSetHeartbeat() && !daemon.isEmpty()) {
                                mDuty.submit(() -> onHeard(daemon, reply.getHeartbeat()));
                            }
                        });
    }

    /** Exchanges heartbeats with a peer that is not heard, through a peer that hears it, if any. */
    private void sendHeartbeatByRelay(String daemon) {
        PeerRoute route = route(daemon);
        if (route.isDirect()) {
            return;
        }
        mMetrics.onInnerMessage();
        route.link()
                .send(toRelay(daemon, Body.heartbeat(ownHeartbeat())), MESSAGE_TIMEOUT_MILLIS)
                .onSuccess(
                        reply -> {
                            if (reply.isSetHeartbeat()) {
                                mDuty.submit(() -> onRelayed(daemon, reply.getHeartbeat()));
                            }
                        });
    }

    private void onRelayed(String daemon, Heartbeat heartbeat) {
        PeerState peer = mPeers.get(daemon);
        if (peer != null) {
            peer.onRelayedHeartbeat(heartbeat);
        }
    }

    private Heartbeat ownHeartbeat() {
        StoppedWorkers stopped = mStoppedWorkersSource.get();
        Heartbeat heartbeat = new Heartbeat();
        heartbeat.setConfigRevision(mView.snapshot().revision());
        heartbeat.setStopping(mStopping);
        heartbeat.setStoppedWorkers(stopped.epochs());
        heartbeat.setInFlightOfStopped(stopped.inFlight());
        heartbeat.setHears(List.copyOf(mDaemons.direct()));
        heartbeat.setZone(mSettings.text(SettingKey.ZONE));
        heartbeat.setHost(mSettings.text(SettingKey.INNER_HOST));
        heartbeat.setPort(advertisedPort());
        return heartbeat;
    }

    private void onHeard(String daemon, Heartbeat heartbeat) {
        PeerState peer = mPeers.get(daemon);
        if (peer != null) {
            peer.onHeartbeat(heartbeat, System.nanoTime());
        }
    }

    private void updateView(long now) {
        Snapshot snapshot = mView.snapshot();
        Set<String> leased = new HashSet<>();
        for (PeerState peer : mPeers.values()) {
            boolean alive = snapshot.isAlive(peer.registration());
            if (alive) {
                leased.add(peer.registration().name());
            }
            peer.markAbsent(!peer.isFresh(now, mSuspectNanos) && !alive, now);
        }
        MembershipView next =
                MembershipView.of(mName, mPeers, leased, now, mSuspectNanos, mGoneNanos);
        if (!next.live().equals(mDaemons.live())) {
            LOGGER.log(Level.INFO, () -> "member: live daemons changed live=" + next.live());
        }
        mDaemons = next;
        mDiscovery.update(snapshot.revision() > 0, leased, mPeers, now);
    }

    private void pullIfBehind(long now) {
        long newest =
                mPeers.values().stream()
                        .filter(peer -> peer.isHeard(now, mSuspectNanos))
                        .mapToLong(peer -> peer.heartbeat().getConfigRevision())
                        .max()
                        .orElse(0);
        boolean behind = newest > mView.snapshot().revision();
        boolean empty = mPeers.isEmpty() && mView.snapshot().revision() == 0;
        if ((behind || empty) && now - mLastPullNanos > mHeartbeatNanos) {
            mLastPullNanos = now;
            links().forEach(this::pull);
        }
    }

    private Future<Void> pull(PeerConnection link) {
        mMetrics.onInnerMessage();
        return link.send(mConfigExchange.pullRequest(), MESSAGE_TIMEOUT_MILLIS)
                .onSuccess(mConfigExchange::onReply)
                .mapEmpty();
    }

    private Future<Body> onMessage(String sender, long incarnation, Body body) {
        if (body.isSetHeartbeat()) {
            mDuty.submit(() -> onPeerHeartbeat(sender, incarnation, body.getHeartbeat()));
            return Future.succeededFuture(Body.heartbeat(ownHeartbeat()));
        }
        if (body.isSetConfigPull()) {
            return Future.succeededFuture(mConfigExchange.onPull(body.getConfigPull()));
        }
        if (body.isSetRelay()) {
            return onRelay(body.getRelay());
        }
        return mApplicationHandler.handle(sender, incarnation, body);
    }

    private Future<Body> onRelay(Relay relay) {
        if (relay.getTarget().equals(mName)) {
            Envelope inner = EnvelopeCodec.decode(relay.getPayload());
            if (inner.getBody().isSetHeartbeat()) {
                Heartbeat heartbeat = inner.getBody().getHeartbeat();
                mDuty.submit(() -> onRelayed(inner.getSender(), heartbeat));
                return Future.succeededFuture(Body.heartbeat(ownHeartbeat()));
            }
            return onMessage(inner.getSender(), inner.getIncarnation(), inner.getBody());
        }
        return Future.fromCompletionStage(mDuty.call(() -> mPeers.get(relay.getTarget())))
                .compose(
                        peer ->
                                peer == null
                                        ? Future.failedFuture("target daemon is not known")
                                        : peer.link()
                                                .send(Body.relay(relay), MESSAGE_TIMEOUT_MILLIS));
    }

    private void onPeerHeartbeat(String sender, long incarnation, Heartbeat heartbeat) {
        addPeer(
                new Registration(
                        sender,
                        incarnation,
                        heartbeat.getZone(),
                        heartbeat.getHost(),
                        heartbeat.getPort(),
                        false));
        PeerState peer = mPeers.get(sender);
        if (peer != null && peer.registration().incarnation() == incarnation) {
            peer.onHeartbeat(heartbeat, System.nanoTime());
        }
    }
}
