package org.endivetray.daemon.job;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.daemon.job.virtual.Delays;
import org.endivetray.daemon.job.virtual.LeasedStore;
import org.endivetray.daemon.job.virtual.PeerLink;
import org.endivetray.daemon.job.virtual.PlatformMinion;
import org.endivetray.daemon.job.virtual.PlatformMinions;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.WorkPlan;
import org.endivetray.job.PoolConfig;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.SiteConfig;

/**
 * Several daemons, the minions of one pool and the shared store on one virtual clock.
 *
 * <p>This class is not thread-safe.
 */
final class DaemonWorld {
    static final String POOL = "ice";
    static final long MAX_LEASE_MILLIS = 6_000;
    static final QueueConfig QUEUE =
            new QueueConfig("charts", "h", "/c/", POOL, 0, 2, 2.0, 600, false);

    private static final SiteConfig CONFIG =
            new SiteConfig(1, List.of(QUEUE), List.of(new PoolConfig(POOL, false, false)));

    private final VirtualExecutor mClock = new VirtualExecutor();
    private final LeasedStore mStore = new LeasedStore(mClock);
    private final Delays mDelays;
    private final PlatformMinions mMinions;
    private final Map<String, SimulatedDaemon> mDaemons = new TreeMap<>();
    private Set<String> mWantedPools = Set.of(POOL);

    /** Constructs a world without daemons and minions. */
    DaemonWorld(Delays delays, WorkPlan plan) {
        mDelays = delays;
        mMinions = new PlatformMinions(mClock, mStore, mDelays, plan, POOL, MAX_LEASE_MILLIS);
    }

    /** Starts a daemon, or starts it again after it has ended. */
    SimulatedDaemon start(String name) {
        SimulatedDaemon daemon = new SimulatedDaemon(this, name);
        mDaemons.put(name, daemon);
        return daemon;
    }

    /** Sets the pools to which the configuration sends queues. */
    void setWantedPools(Set<String> pools) {
        mWantedPools = pools;
        mDaemons.values().forEach(daemon -> daemon.setWantedPools(pools));
    }

    Set<String> wantedPools() {
        return mWantedPools;
    }

    /** Starts a minion and two daemons, of which one owns the pool then. */
    void startTwoDaemons() {
        addMinion("m1");
        start("d1");
        start("d2");
        run(3_000);
    }

    /** Returns the one of two daemons that owns the pool. */
    SimulatedDaemon owner() {
        return daemon(daemon("d1").isOwner() ? "d1" : "d2");
    }

    /** Returns the one of two daemons that does not own the pool. */
    SimulatedDaemon other() {
        return daemon(daemon("d1").isOwner() ? "d2" : "d1");
    }

    /** Lets the two daemons no longer reach each other. */
    void separate() {
        daemon("d1").peerLink().setCut("d2", true);
        daemon("d2").peerLink().setCut("d1", true);
    }

    SimulatedDaemon daemon(String name) {
        return mDaemons.get(name);
    }

    Iterable<SimulatedDaemon> daemons() {
        return mDaemons.values();
    }

    /** Returns the names of all daemons, also of those that are not running. */
    List<String> daemonNames() {
        return List.copyOf(mDaemons.keySet());
    }

    PeerLink.Peer peer(String name) {
        SimulatedDaemon daemon = mDaemons.get(name);
        return daemon == null ? null : daemon.peer();
    }

    PlatformMinion addMinion(String id) {
        return mMinions.add(id);
    }

    void run(long millis) {
        mClock.advance(millis);
    }

    VirtualExecutor clock() {
        return mClock;
    }

    LeasedStore store() {
        return mStore;
    }

    Delays delays() {
        return mDelays;
    }

    PlatformMinions minions() {
        return mMinions;
    }

    SiteConfig config() {
        return CONFIG;
    }
}
