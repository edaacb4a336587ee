package org.endivetray.proof.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A site on loopback addresses: the stand-ins of the platform and the minions in this process, and
 * daemons as processes of their own.
 *
 * <p>This class is thread-safe.
 */
final class SoakSite implements AutoCloseable {
    static final List<String> POOLS = List.of("alpha", "beta", "gamma", "delta");
    static final String SPARE_POOL = "spare";
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int MACHINES = 18;
    private static final int SPARE_MACHINES = 2;
    private static final int RACKS = 3;
    private static final int CPU_MILLIS = 2_000;

    private final SoakAccounts mAccounts;
    private final SoakRecord mRecord;
    private final SoakStore mStore;
    private final SoakRules mRules;
    private final SoakWorkers mWorkers;
    private final Path mFolder;
    private final List<SoakMinion> mMinions = new CopyOnWriteArrayList<>();
    private final List<SoakDaemon> mDaemons = new ArrayList<>();
    private final Map<String, TcpLink> mPeerLinks = new ConcurrentHashMap<>();

    /** The pools to which queues are sent, of the queues that are not sent to their own. */
    private final Map<String, String> mMovedQueues = new HashMap<>();

    private long mVersion;

    /** Longest delay of a message to or from a minion, in milliseconds. */
    volatile int mMaxDelayMillis = 5;

    /**
     * Starts the platform and the minions; the daemons are created, but not started.
     *
     * @param root the checkout whose built daemon is run, not null
     * @param folder for settings and logs, not null
     * @param daemons number of daemons
     * @param hasAccounts whether callers need keys of client accounts
     */
    SoakSite(Path root, Path folder, int daemons, boolean hasAccounts) throws IOException {
        mFolder = folder;
        mAccounts = new SoakAccounts(hasAccounts);
        mRecord = new SoakRecord(folder.resolve("record"));
        mStore = new SoakStore(mRecord);
        mRules = new SoakRules(mRecord, mStore, mAccounts);
        mWorkers = new SoakWorkers(this);
        for (int i = 1; i <= daemons; i++) {
            mDaemons.add(new SoakDaemon(this, root, i));
        }
        mStore.setPeerPorts(this::peerPort);
        writeManifest();
        for (int i = 0; i < MACHINES; i++) {
            String pool = i < SPARE_MACHINES ? SPARE_POOL : POOLS.get(i % POOLS.size());
            mWorkers.add("m-" + (100 + i), pool, "r" + i % RACKS, CPU_MILLIS);
        }
        SoakRecord.spawn(this::report);
    }

    private void report() {
        while (true) {
            SoakRecord.sleep(HEARTBEAT_MILLIS);
            mMinions.forEach(SoakMinion::register);
        }
    }

    /** Returns the pool to which the queue of a pool is sent while it is not sent to its own. */
    static String otherPool(String pool) {
        return POOLS.get((POOLS.indexOf(pool) + 1) % POOLS.size());
    }

    /** Returns a pool that a daemon owns, or any one if it owns none. */
    String poolOf(SoakDaemon daemon, Random random) {
        return POOLS.stream()
                .filter(pool -> mStore.owner(pool).equals(daemon.name()))
                .findFirst()
                .orElse(POOLS.get(random.nextInt(POOLS.size())));
    }

    /** Sends the queue of a pool to another pool. */
    synchronized void moveQueue(String pool) {
        mRecord.add("the queue of " + pool + " goes to " + otherPool(pool));
        mMovedQueues.put(pool, otherPool(pool));
        writeManifest();
    }

    /** Sends the queue of a pool to that pool again. */
    synchronized void returnQueue(String pool) {
        mRecord.add("the queue of " + pool + " is back");
        mMovedQueues.remove(pool);
        writeManifest();
    }

    /** Writes a manifest with a new version. */
    synchronized void writeManifest() {
        ObjectNode manifest = LoopbackServer.object().put("version", ++mVersion);
        ArrayNode routes = manifest.putArray("routes");
        ArrayNode services = manifest.putArray("services");
        for (int i = 0; i < POOLS.size(); i++) {
            String pool = POOLS.get(i);
            ObjectNode route = routes.addObject().put("name", "q-" + pool);
            route.put("host", "yard.example").put("prefix", "/" + pool + "/");
            route.put("type", "non_idempotent").put("timeout_ms", 3_000);
            route.put("target_latency_ms", 600).put("priority", i % 2);
            route.put("service", mMovedQueues.getOrDefault(pool, pool));
            route.put("attempts", 4).put("stretch", 1.6);
            addService(services, pool, false);
        }
        addService(services, SPARE_POOL, true);
        mAccounts.addTo(manifest);
        manifest.putObject("limits").put("max_body_bytes", 262_144);
        mStore.put("op/config", manifest);
    }

    private static void addService(ArrayNode services, String pool, boolean isSpare) {
        ObjectNode service = services.addObject().put("name", pool);
        service.put("health_path", "/health").put("max_connections", 64).put("protocol", "h1");
        service.put("tls", false).put("enforces_capacity", true).put("standby", isSpare);
    }

    /** Returns the port at which a daemon reaches another; each pair has a link of its own. */
    private int peerPort(int from, int to) {
        if (from == to) {
            return 0;
        }
        SoakDaemon source = mDaemons.get(from - 1);
        SoakDaemon target = mDaemons.get(to - 1);
        return mPeerLinks.computeIfAbsent(from + "-" + to, ignored -> link(source, target)).port();
    }

    private static TcpLink link(SoakDaemon source, SoakDaemon target) {
        try {
            return new TcpLink(target.innerPort(), () -> !source.reaches(target));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    SoakAccounts accounts() {
        return mAccounts;
    }

    SoakRecord record() {
        return mRecord;
    }

    SoakStore store() {
        return mStore;
    }

    SoakRules rules() {
        return mRules;
    }

    SoakWorkers workers() {
        return mWorkers;
    }

    Path folder() {
        return mFolder;
    }

    List<SoakDaemon> daemons() {
        return mDaemons;
    }

    /** Returns the minions that are up. */
    List<SoakMinion> minions() {
        return mMinions.stream().filter(SoakMinion::isUp).toList();
    }

    /** Returns the minions that are up, each with a probability. */
    List<SoakMinion> someMinions(Random random, double share) {
        return minions().stream().filter(minion -> random.nextDouble() < share).toList();
    }

    void add(SoakMinion minion) {
        mMinions.removeIf(other -> !other.isUp());
        mMinions.add(minion);
    }

    /** Returns the delay of a message between a daemon and a minion, drawn at random. */
    long delayMillis() {
        return 1 + (long) (mMaxDelayMillis * Math.random());
    }

    @Override
    public void close() {
        mDaemons.forEach(SoakDaemon::close);
    }
}
