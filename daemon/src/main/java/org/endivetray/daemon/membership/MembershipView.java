package org.endivetray.daemon.membership;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.endivetray.wire.gen.Heartbeat;

/**
 * This daemon's view of all daemons at one moment.
 *
 * <p>Invariants: this daemon is live and present.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param live this daemon, those in {@code direct} and those that a heard peer hears, not null
 * @param direct other daemons that this daemon recently heard or first saw, not null
 * @param present daemons that may still have requests in flight, not null
 * @param unreachable daemons that hold a lease in the store but are not live, not null
 * @param stoppedWorkers workers to which each other daemon sends no new work, by daemon, not null
 * @param configRevisions configuration revision in force at each other daemon, by daemon, not null
 */
record MembershipView(
        Set<String> live,
        Set<String> direct,
        Set<String> present,
        Set<String> unreachable,
        Map<String, StoppedWorkers> stoppedWorkers,
        Map<String, Long> configRevisions) {
    MembershipView {
        live = Set.copyOf(live);
        direct = Set.copyOf(direct);
        present = Set.copyOf(present);
        unreachable = Set.copyOf(unreachable);
        stoppedWorkers = Map.copyOf(stoppedWorkers);
        configRevisions = Map.copyOf(configRevisions);
    }

    static MembershipView ofSelf(String name) {
        return new MembershipView(
                Set.of(name), Set.of(), Set.of(name), Set.of(), Map.of(), Map.of());
    }

    static MembershipView of(
            String name,
            Map<String, PeerState> peers,
            Set<String> leased,
            long nowNanos,
            long suspectNanos,
            long goneNanos) {
        Set<String> direct = new TreeSet<>();
        Set<String> present = new TreeSet<>(Set.of(name));
        Set<String> live = new TreeSet<>(Set.of(name));
        Map<String, StoppedWorkers> stoppedWorkers = new TreeMap<>();
        Map<String, Long> configRevisions = new TreeMap<>();
        peers.forEach(
                (daemon, peer) -> {
                    if (!peer.isGone(nowNanos, goneNanos)) {
                        present.add(daemon);
                    }
                    if (peer.isFresh(nowNanos, suspectNanos)) {
                        direct.add(daemon);
                    }
                    if (peer.isHeard(nowNanos, suspectNanos)) {
                        live.addAll(peer.heartbeat().getHears());
                    }
                    if (peer.heartbeat() != null) {
                        Heartbeat lastHeartbeat = peer.heartbeat();
                        stoppedWorkers.put(
                                daemon,
                                new StoppedWorkers(
                                        lastHeartbeat.getStoppedWorkers(),
                                        lastHeartbeat.getInFlightOfStopped()));
                        configRevisions.put(daemon, lastHeartbeat.getConfigRevision());
                    }
                });
        live.addAll(direct);
        live.removeIf(daemon -> !daemon.equals(name) && !peers.containsKey(daemon));
        Set<String> unreachable = new TreeSet<>(leased);
        unreachable.removeAll(live);
        return new MembershipView(
                live, direct, present, unreachable, stoppedWorkers, configRevisions);
    }

    /**
     * Returns whether this daemon is on the smaller side of a partition.
     *
     * <p>Of two sides of equal size, the one that contains the first daemon by name counts as the
     * larger.
     */
    boolean isMinority() {
        if (unreachable.size() != live.size()) {
            return unreachable.size() > live.size();
        }
        return Collections.min(unreachable).compareTo(Collections.min(live)) < 0;
    }
}
