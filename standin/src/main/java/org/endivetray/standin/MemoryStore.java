package org.endivetray.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * An in-memory key-value store with compare-and-swap, leases and watches.
 *
 * <p>Invariants: each change increments the revision by one; the version of a key is the revision
 * of its last change.
 *
 * <p>This class is not thread-safe; it is confined to the event loop of the platform stand-in.
 */
final class MemoryStore {
    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final TreeMap<Long, Change> mHistory = new TreeMap<>();
    private final Map<String, Lease> mLeases = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mRevision = 1;
    private long mNextLeaseId = 1;

    long revision() {
        return mRevision;
    }

    /** Returns the entry of the key, or null if there is none. */
    Entry read(String key) {
        return mEntries.get(key);
    }

    /** Returns the entries whose keys start with the prefix. */
    List<Change> list(String prefix) {
        List<Change> found = new ArrayList<>();
        mEntries.tailMap(prefix, true)
                .forEach(
                        (key, entry) -> {
                            if (key.startsWith(prefix)) {
                                found.add(new Change(key, entry.version(), entry.value()));
                            }
                        });
        return found;
    }

    /**
     * Writes the key if it has the expected version and the lease, if any, is active.
     *
     * @param key key to write, not null
     * @param expectedVersion expected version, 0 if the key must not exist
     * @param value value to store, not null
     * @param leaseId identifier of the lease that deletes the key at its end, or empty
     * @return the new version, or -1 if the key was not written
     */
    long write(String key, long expectedVersion, String value, String leaseId) {
        Entry existing = mEntries.get(key);
        long version = existing == null ? 0 : existing.version();
        boolean leaseExpired = !leaseId.isEmpty() && !mLeases.containsKey(leaseId);
        if (version != expectedVersion || leaseExpired) {
            return -1;
        }
        mRevision++;
        mEntries.put(key, new Entry(mRevision, value, leaseId));
        publish(new Change(key, mRevision, value));
        return mRevision;
    }

    /** Deletes the key if it has the expected version, and returns whether it was deleted. */
    boolean delete(String key, long expectedVersion) {
        Entry existing = mEntries.get(key);
        if (existing == null || existing.version() != expectedVersion) {
            return false;
        }
        remove(key);
        return true;
    }

    String createLease(long ttlMillis, long nowMillis) {
        String id = "l" + mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMillis, nowMillis + ttlMillis));
        return id;
    }

    boolean renewLease(String id, long nowMillis) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return false;
        }
        mLeases.put(id, new Lease(lease.ttlMillis(), nowMillis + lease.ttlMillis()));
        return true;
    }

    void endLease(String id) {
        mLeases.remove(id);
        List<String> keys = new ArrayList<>();
        mEntries.forEach(
                (key, entry) -> {
                    if (entry.leaseId().equals(id)) {
                        keys.add(key);
                    }
                });
        keys.forEach(this::remove);
    }

    /** Ends the leases and completes the watches whose time has passed. */
    void tick(long nowMillis) {
        List<String> ended = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.expiryMillis() <= nowMillis) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::endLease);
        List<Watch> due =
                mWatches.stream().filter(watch -> watch.deadlineMillis() <= nowMillis).toList();
        mWatches.removeAll(due);
        due.forEach(watch -> watch.listener().accept(List.of()));
    }

    /**
     * Calls the listener once with the changes after the revision, as soon as there are any, or
     * with none at the deadline.
     */
    void watch(
            String prefix,
            long afterRevision,
            long deadlineMillis,
            Consumer<List<Change>> listener) {
        List<Change> changes = changesAfter(prefix, afterRevision);
        if (!changes.isEmpty() || deadlineMillis <= System.currentTimeMillis()) {
            listener.accept(changes);
        } else {
            mWatches.add(new Watch(prefix, afterRevision, deadlineMillis, listener));
        }
    }

    private List<Change> changesAfter(String prefix, long afterRevision) {
        return mHistory.tailMap(afterRevision, false).values().stream()
                .filter(change -> change.key().startsWith(prefix))
                .toList();
    }

    private void remove(String key) {
        mEntries.remove(key);
        mRevision++;
        publish(new Change(key, mRevision, null));
    }

    private void publish(Change change) {
        if (!change.key().startsWith("claim/")) {
            mHistory.put(change.version(), change);
        }
        List<Watch> due =
                mWatches.stream().filter(watch -> change.key().startsWith(watch.prefix())).toList();
        mWatches.removeAll(due);
        due.forEach(
                watch ->
                        watch.listener()
                                .accept(changesAfter(watch.prefix(), watch.afterRevision())));
    }

    /** A stored value with its version and lease. */
    record Entry(long version, String value, String leaseId) {}

    /** A change of a key; the value is null if it was deleted. */
    record Change(String key, long version, String value) {}

    /** A lease with its duration and expiry time. */
    private record Lease(long ttlMillis, long expiryMillis) {}

    /** A watch that waits for a change. */
    private record Watch(
            String prefix,
            long afterRevision,
            long deadlineMillis,
            Consumer<List<Change>> listener) {}
}
