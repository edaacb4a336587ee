package org.endivetray.daemon.membership;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.endivetray.wire.gen.Heartbeat;

/**
 * What this daemon knows of all daemons at one moment.
 *
 * <p>Invariants: this daemon is live and present.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param live daemons that this one or one of its peers hears, not null
 * @param direct other daemons that this one hears itself, not null
 * @param present daemons that may still have requests in flight, not null
 * @param unreachable daemons that nobody here hears but whose lease the store holds, not null
 * @param stoppedWorkers what each other daemon sends no new work to, by daemon, not null
 * @param configRevisions configuration revision in force, by other daemon, not null
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
            Set<String> alive,
            long nowNanos,
            long suspectNanos,
            long goneNanos) {
        Set<String> direct = new TreeSet<>();
        Set<String> present = new TreeSet<>(Set.of(name));
        Set<String> live = new TreeSet<>(Set.of(name));
        Map<String, StoppedWorkers> stopped = new TreeMap<>();
        Map<String, Long> revisions = new TreeMap<>();
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
                        Heartbeat last = peer.heartbeat();
                        stopped.put(
                                daemon,
                                new StoppedWorkers(
                                        last.getStoppedWorkers(), last.getInFlightOfStopped()));
                        revisions.put(daemon, last.getConfigRevision());
                    }
                });
        live.addAll(direct);
        live.removeIf(daemon -> !daemon.equals(name) && !peers.containsKey(daemon));
        Set<String> unheard = new TreeSet<>(alive);
        unheard.removeAll(live);
        return new MembershipView(live, direct, present, unheard, stopped, revisions);
    }

    /**
     * Returns whether this daemon's side of a split is the smaller one.
     *
     * <p>Of two equal sides the one with the first name is the larger.
     */
    boolean isMinority() {
        if (unreachable.size() != live.size()) {
            return unreachable.size() > live.size();
        }
        return Collections.min(unreachable).compareTo(Collections.min(live)) < 0;
    }
}
