package org.endivetray.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A key-value store with compare-and-swap, leases and watches, in memory.
 *
 * <p>Invariants: the revision rises by one with each change; a key's version is the revision of its
 * last change.
 *
 * <p>This class is not thread-safe; its server's event loop owns it.
 */
final class MemoryStore {
    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final TreeMap<Long, Change> mHistory = new TreeMap<>();
    private final Map<String, Lease> mLeases = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mRevision = 1;
    private long mNextLease = 1;

    long revision() {
        return mRevision;
    }

    /** Returns the entry of the key, or null. */
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

    /** Writes the key if it has the expected version; returns the new version or -1. */
    long write(String key, long expected, String value, String lease) {
        Entry known = mEntries.get(key);
        long version = known == null ? 0 : known.version();
        boolean leaseEnded = !lease.isEmpty() && !mLeases.containsKey(lease);
        if (version != expected || leaseEnded) {
            return -1;
        }
        mRevision++;
        mEntries.put(key, new Entry(mRevision, value, lease));
        changed(new Change(key, mRevision, value));
        return mRevision;
    }

    /** Deletes the key if it has the expected version; returns whether it did. */
    boolean delete(String key, long expected) {
        Entry known = mEntries.get(key);
        if (known == null || known.version() != expected) {
            return false;
        }
        remove(key);
        return true;
    }

    String createLease(long ttlMillis, long nowMillis) {
        String id = "l" + mNextLease++;
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
                    if (entry.lease().equals(id)) {
                        keys.add(key);
                    }
                });
        keys.forEach(this::remove);
    }

    /** Ends leases that were not renewed, and answers watches that have waited long enough. */
    void tick(long nowMillis) {
        List<String> ended = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.endsMillis() <= nowMillis) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::endLease);
        List<Watch> due =
                mWatches.stream().filter(watch -> watch.untilMillis() <= nowMillis).toList();
        mWatches.removeAll(due);
        due.forEach(watch -> watch.answer().accept(List.of()));
    }

    /** Answers with the changes after the revision, at once or when there are some. */
    void watch(String prefix, long after, long untilMillis, Consumer<List<Change>> answer) {
        List<Change> changes = changesAfter(prefix, after);
        if (!changes.isEmpty() || untilMillis <= System.currentTimeMillis()) {
            answer.accept(changes);
        } else {
            mWatches.add(new Watch(prefix, after, untilMillis, answer));
        }
    }

    private List<Change> changesAfter(String prefix, long after) {
        return mHistory.tailMap(after, false).values().stream()
                .filter(change -> change.key().startsWith(prefix))
                .toList();
    }

    private void remove(String key) {
        mEntries.remove(key);
        mRevision++;
        changed(new Change(key, mRevision, null));
    }

    private void changed(Change change) {
        if (!change.key().startsWith("claim/")) {
            mHistory.put(change.version(), change);
        }
        List<Watch> due =
                mWatches.stream().filter(watch -> change.key().startsWith(watch.prefix())).toList();
        mWatches.removeAll(due);
        due.forEach(watch -> watch.answer().accept(changesAfter(watch.prefix(), watch.after())));
    }

    /** A stored value. */
    record Entry(long version, String value, String lease) {}

    /** A change of a key; the value is null if it was deleted. */
    record Change(String key, long version, String value) {}

    /** A lease and when it ends. */
    private record Lease(long ttlMillis, long endsMillis) {}

    /** A call that waits for a change. */
    private record Watch(
            String prefix, long after, long untilMillis, Consumer<List<Change>> answer) {}
}
