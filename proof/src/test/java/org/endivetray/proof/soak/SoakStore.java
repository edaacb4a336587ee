package org.endivetray.proof.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntBinaryOperator;

/**
 * The platform's metadata store, with conditions, leases, watches and lists in small pages. Each
 * daemon has an entrance of its own, which can be cut off, refuse or lose answers by itself.
 *
 * <p>Invariants: answers are linearizable; nothing that was written is lost.
 *
 * <p>This class is thread-safe.
 */
final class SoakStore {
    private static final String OWNER_PREFIX = "endivetray/live/owner/";
    private static final String DAEMON_PREFIX = "endivetray/live/daemon/";
    private static final int PAGE_ITEMS = 50;
    private static final int MAX_ENTRIES = 32;
    private static final long ANSWER_MILLIS = 4;

    /** Longest extra delay of each call, in milliseconds. */
    volatile long mExtraMillis;

    /** Share of the calls that are carried out and get no answer. */
    volatile double mLostShare;

    /** Share of the commits that are carried out seconds later, without an answer. */
    volatile double mLateShare;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        String mDaemon;
        long mTtlMillis;
        long mEndNanos;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Map<String, StoreEntrance> mStoreEntrances = new ConcurrentHashMap<>();
    private final Map<Long, String> mOwners = new ConcurrentHashMap<>();
    private final SoakRecord mRecord;

    /** Returns the port at which one daemon reaches another, by their numbers. */
    private volatile IntBinaryOperator mPeerPorts = (from, to) -> 0;

    private long mRevision = 100;
    private long mNextLease = 5_000;

    SoakStore(SoakRecord record) {
        mRecord = record;
        SoakRecord.spawn(this::expireLeases);
    }

    /** Returns the entrance of a daemon, which is opened at its first use. */
    synchronized StoreEntrance entrance(String daemon) throws IOException {
        StoreEntrance entrance = mStoreEntrances.get(daemon);
        if (entrance == null) {
            entrance = new StoreEntrance(daemon);
            StoreEntrance opened = entrance;
            entrance.mServer = LoopbackServer.start(0, request -> handle(opened, request));
            mStoreEntrances.put(daemon, entrance);
        }
        return entrance;
    }

    /** Lets each daemon see other ports of its peers than those that they have registered. */
    void setPeerPorts(IntBinaryOperator peerPorts) {
        mPeerPorts = peerPorts;
    }

    /** Returns the daemon that claimed a shard under a fencing token, empty if there is none. */
    String ownerOf(long token) {
        return mOwners.getOrDefault(token, "");
    }

    /** Returns the name of the daemon that owns a shard now, empty if there is none. */
    String owner(String shard) {
        JsonNode owner = get(OWNER_PREFIX + shard);
        return owner == null ? "" : owner.path("daemon").asText();
    }

    /** Writes a key as an operator or a minion does. */
    synchronized void put(String key, JsonNode value) {
        byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
        write(key, Base64.getEncoder().encodeToString(bytes), 0, ++mRevision);
        notifyAll();
    }

    /** Writes a minion's report, which changes its entry only if more than its sequence changes. */
    synchronized void report(String key, ObjectNode value) {
        JsonNode earlier = get(key);
        if (earlier != null) {
            ObjectNode before = earlier.deepCopy();
            before.remove("sequence");
            if (before.equals(value.deepCopy().without("sequence"))) {
                return;
            }
        }
        put(key, value);
    }

    synchronized void remove(String key) {
        if (mItems.containsKey(key)) {
            delete(key, ++mRevision);
            notifyAll();
        }
    }

    /** Returns the decoded value of a key, null if it does not exist. */
    synchronized JsonNode get(String key) {
        Item item = mItems.get(key);
        return item == null ? null : decode(item.value());
    }

    private static JsonNode decode(String value) {
        try {
            return LoopbackServer.JSON.readTree(Base64.getDecoder().decode(value));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void write(String key, String value, long lease, long revision) {
        Item earlier = mItems.get(key);
        long created = earlier == null ? revision : earlier.created();
        Item item = new Item(key, value, revision, created, lease);
        mItems.put(key, item);
        mHistory.add(new Event(revision, key, item));
        if (key.startsWith(OWNER_PREFIX)) {
            String daemon = decode(value).path("daemon").asText();
            mOwners.put(revision, daemon);
            mRecord.add("owner of " + key + " is " + daemon + " token " + revision);
        }
    }

    private void delete(String key, long revision) {
        mItems.remove(key);
        mHistory.add(new Event(revision, key, null));
        if (key.startsWith(OWNER_PREFIX)) {
            mRecord.add("owner of " + key + " is removed");
        }
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (long id : List.copyOf(mLeases.keySet())) {
                    if (now - mLeases.get(id).mEndNanos >= 0) {
                        mRecord.add("lease of " + mLeases.get(id).mDaemon + " expires");
                        endLease(id);
                    }
                }
            }
            SoakRecord.sleep(20);
        }
    }

    /** Ends the leases of a daemon, with their keys, though they were extended in time. */
    synchronized void revoke(String daemon) {
        for (long id : List.copyOf(mLeases.keySet())) {
            if (mLeases.get(id).mDaemon.equals(daemon)) {
                endLease(id);
            }
        }
    }

    private void endLease(long id) {
        mLeases.remove(id);
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() == id) {
                delete(item.key(), ++mRevision);
            }
        }
        notifyAll();
    }

    private LoopbackServer.Reply handle(StoreEntrance from, LoopbackServer.Request request)
            throws InterruptedException {
        if (from.mIsSilent) {
            return null;
        }
        if (from.mRefuses) {
            return new LoopbackServer.Reply(503, LoopbackServer.object());
        }
        if (request.path().equals("/api/kv-txn") && Math.random() < mLateShare) {
            SoakRecord.spawn(() -> executeLate(from, request));
            return null;
        }
        if (!request.path().equals("/api/kv-watch")) {
            long extra = mExtraMillis + from.mExtraMillis;
            SoakRecord.sleep(ANSWER_MILLIS + (long) (extra * (0.3 + 0.7 * Math.random())));
        }
        LoopbackServer.Reply reply = execute(from, request);
        return from.mIsSilent || Math.random() < mLostShare ? null : reply;
    }

    private void executeLate(StoreEntrance from, LoopbackServer.Request request) {
        SoakRecord.sleep(StoreEntrance.lateMillis());
        try {
            mRecord.add("late commit of " + from.mDaemon + " " + execute(from, request).status());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized LoopbackServer.Reply execute(
            StoreEntrance from, LoopbackServer.Request request) throws InterruptedException {
        String path = request.path();
        long number = path.matches(".*/\\d+") ? Long.parseLong(path.replaceAll(".*/", "")) : 0;
        return switch (path.replaceAll("/\\d+$", "")) {
            case "/api/kv-key" -> readKey(from, request.query().get("key"));
            case "/api/kv-range" -> readRange(from, request.query());
            case "/api/kv-watch" -> watch(from, request.query());
            case "/api/kv-txn" -> commit(from, request.body());
            case "/api/kv-lease" -> createLease(from, request.body());
            case "/api/kv-keep" -> keepLease(number);
            case "/api/kv-lease-end" -> {
                endLease(number);
                yield new LoopbackServer.Reply(200, LoopbackServer.object());
            }
            default -> new LoopbackServer.Reply(404, LoopbackServer.object());
        };
    }

    private ObjectNode toJson(StoreEntrance reader, Item item) {
        ObjectNode row = LoopbackServer.object();
        row.put("key", item.key()).put("value", valueFor(reader, item));
        row.put("revision", item.revision());
        return row.put("created", item.created()).put("lease", item.lease());
    }

    private String valueFor(StoreEntrance reader, Item item) {
        if (!item.key().startsWith(DAEMON_PREFIX)) {
            return item.value();
        }
        ObjectNode record = (ObjectNode) decode(item.value());
        int port = mPeerPorts.applyAsInt(numberOf(reader.mDaemon), numberOf(item.key()));
        byte[] seen =
                (port == 0 ? record : record.put("port", port))
                        .toString()
                        .getBytes(StandardCharsets.UTF_8);
        return Base64.getEncoder().encodeToString(seen);
    }

    private static int numberOf(String name) {
        return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
    }

    private LoopbackServer.Reply readKey(StoreEntrance from, String key) {
        Item item = mItems.get(key);
        ObjectNode body = item == null ? LoopbackServer.object() : toJson(from, item);
        body.put("store_revision", mRevision);
        return new LoopbackServer.Reply(item == null ? 404 : 200, body);
    }

    private LoopbackServer.Reply readRange(StoreEntrance from, Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        ObjectNode body = LoopbackServer.object();
        ArrayNode rows = body.putArray("items");
        boolean isTruncated = false;
        String first = after.isEmpty() ? prefix : after;
        for (Item item : mItems.tailMap(first, after.isEmpty()).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (rows.size() == PAGE_ITEMS) {
                isTruncated = true;
                break;
            }
            rows.add(toJson(from, item));
        }
        body.put("truncated", isTruncated).put("store_revision", mRevision);
        return new LoopbackServer.Reply(200, body);
    }

    private int firstEventAfter(long revision) {
        int low = 0;
        int high = mHistory.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (mHistory.get(middle).revision() <= revision) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private LoopbackServer.Reply watch(StoreEntrance from, Map<String, String> query)
            throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        int next = firstEventAfter(after);
        ObjectNode body = LoopbackServer.object();
        ArrayNode events = body.putArray("events");
        while (true) {
            for (; next < mHistory.size(); next++) {
                Event event = mHistory.get(next);
                if (event.key().startsWith(prefix)) {
                    events.add(toJson(from, event));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new LoopbackServer.Reply(200, body.put("store_revision", mRevision));
            }
            wait(left);
        }
    }

    private ObjectNode toJson(StoreEntrance from, Event event) {
        if (event.item() != null) {
            return toJson(from, event.item());
        }
        ObjectNode row = LoopbackServer.object().put("key", event.key());
        return row.put("revision", event.revision()).put("deleted", true);
    }

    private LoopbackServer.Reply commit(StoreEntrance from, JsonNode body) {
        JsonNode conditions = body.path("expected_rev");
        JsonNode writes = body.path("set_keys");
        JsonNode removals = body.path("remove");
        if (conditions.size() + writes.size() + removals.size() > MAX_ENTRIES) {
            return new LoopbackServer.Reply(400, LoopbackServer.object());
        }
        boolean isMet = true;
        ObjectNode conflict = LoopbackServer.object();
        ArrayNode current = conflict.putArray("items");
        for (JsonNode row : conditions) {
            Item item = mItems.get(row.path("key").asText());
            isMet &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
            if (item != null) {
                current.add(toJson(from, item));
            } else {
                current.addObject().put("key", row.path("key").asText()).put("revision", 0);
            }
        }
        if (!isMet) {
            return new LoopbackServer.Reply(412, conflict);
        }
        for (JsonNode row : writes) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new LoopbackServer.Reply(404, LoopbackServer.object());
            }
        }
        long revision = ++mRevision;
        for (JsonNode row : writes) {
            String value = row.path("value").asText();
            write(row.path("key").asText(), value, row.path("lease").asLong(), revision);
        }
        for (JsonNode key : removals) {
            if (mItems.containsKey(key.asText())) {
                delete(key.asText(), revision);
            }
        }
        notifyAll();
        return new LoopbackServer.Reply(200, LoopbackServer.object().put("revision", revision));
    }

    private LoopbackServer.Reply createLease(StoreEntrance from, JsonNode body) {
        Lease lease = new Lease();
        lease.mDaemon = from.mDaemon;
        lease.mTtlMillis = body.path("ttl_ms").asLong();
        lease.mEndNanos = System.nanoTime() + lease.mTtlMillis * 1_000_000;
        long id = mNextLease++;
        mLeases.put(id, lease);
        ObjectNode reply = LoopbackServer.object().put("lease", id).put("ttl_ms", lease.mTtlMillis);
        return new LoopbackServer.Reply(200, reply);
    }

    private LoopbackServer.Reply keepLease(long id) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return new LoopbackServer.Reply(404, LoopbackServer.object());
        }
        lease.mEndNanos = System.nanoTime() + lease.mTtlMillis * 1_000_000;
        ObjectNode reply = LoopbackServer.object().put("ttl_ms", lease.mTtlMillis);
        return new LoopbackServer.Reply(200, reply);
    }
}
