package review.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store as PROTOCOL.md describes it: linearizable, with conditions, leases
 * and watches. It loses nothing and keeps its whole history.
 */
public final class Store {
    private static final int MAX_ITEMS = 500;
    private static final int MAX_ENTRIES = 32;
    private static final long ANSWER_MILLIS = 4;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        long ttlMillis;
        long endNanos;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final HttpServer mServer;
    private long mRevision = 100;
    private long mNextLease = 5_000;

    public Store() throws IOException {
        mServer = Http.serve(0, this::handle);
        Thread expiry = new Thread(this::expireLeases, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    public int port() {
        return mServer.getAddress().getPort();
    }

    /** Writes a key as an operator or a minion does. */
    public synchronized long put(String key, JsonNode value) {
        byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
        write(key, Base64.getEncoder().encodeToString(bytes), 0, ++mRevision);
        notifyAll();
        return mRevision;
    }

    /**
     * Writes a minion's report. The entry changes only when more than its sequence changes, so a
     * report that repeats the one before makes no new revision and no event.
     */
    public synchronized void report(String key, ObjectNode value) {
        JsonNode earlier = get(key);
        if (earlier != null) {
            ObjectNode before = earlier.deepCopy();
            ObjectNode after = value.deepCopy();
            before.remove("sequence");
            after.remove("sequence");
            if (before.equals(after)) {
                return;
            }
        }
        put(key, value);
    }

    public synchronized void remove(String key) {
        if (mItems.containsKey(key)) {
            delete(key, ++mRevision);
            notifyAll();
        }
    }

    /** Returns the decoded value of a key, or null. */
    public synchronized JsonNode get(String key) {
        Item item = mItems.get(key);
        try {
            return item == null
                    ? null
                    : Http.JSON.readTree(Base64.getDecoder().decode(item.value()));
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
    }

    private void delete(String key, long revision) {
        mItems.remove(key);
        mHistory.add(new Event(revision, key, null));
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (long id : List.copyOf(mLeases.keySet())) {
                    if (now - mLeases.get(id).endNanos >= 0) {
                        endLease(id);
                    }
                }
            }
            Rig.sleep(20);
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

    private Http.Reply handle(Http.Request request) throws Exception {
        String path = request.path();
        if (!path.equals("/api/kv-watch")) {
            Rig.sleep(ANSWER_MILLIS);
        }
        synchronized (this) {
            if (path.equals("/api/kv-key")) {
                return readKey(request.query().get("key"));
            } else if (path.equals("/api/kv-range")) {
                return readRange(request.query());
            } else if (path.equals("/api/kv-watch")) {
                return watch(request.query());
            } else if (path.equals("/api/kv-txn")) {
                return commit(request.body());
            } else if (path.equals("/api/kv-lease")) {
                return createLease(request.body());
            } else if (path.startsWith("/api/kv-keep/")) {
                return keepLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            } else if (path.startsWith("/api/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                return Http.reply(200, Http.object());
            }
        }
        return Http.reply(404, Http.object());
    }

    private ObjectNode toJson(Item item) {
        ObjectNode row = Http.object();
        row.put("key", item.key()).put("value", item.value()).put("revision", item.revision());
        return row.put("created", item.created()).put("lease", item.lease());
    }

    private Http.Reply readKey(String key) {
        Item item = mItems.get(key);
        if (item == null) {
            return Http.reply(404, Http.object().put("store_revision", mRevision));
        }
        return Http.reply(200, toJson(item).put("store_revision", mRevision));
    }

    private Http.Reply readRange(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        ObjectNode body = Http.object();
        ArrayNode rows = body.putArray("items");
        boolean isTruncated = false;
        for (Item item : mItems.tailMap(prefix, true).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) > 0) {
                if (rows.size() == MAX_ITEMS) {
                    isTruncated = true;
                    break;
                }
                rows.add(toJson(item));
            }
        }
        return Http.reply(
                200, body.put("truncated", isTruncated).put("store_revision", mRevision));
    }

    private Http.Reply watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            ObjectNode body = Http.object();
            ArrayNode events = body.putArray("events");
            for (Event event : mHistory) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(
                            event.item() != null
                                    ? toJson(event.item())
                                    : Http.object()
                                            .put("key", event.key())
                                            .put("revision", event.revision())
                                            .put("deleted", true));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return Http.reply(200, body.put("store_revision", mRevision));
            }
            wait(left);
        }
    }

    private Http.Reply commit(JsonNode body) {
        JsonNode conditions = body.path("expected_rev");
        JsonNode writes = body.path("set_keys");
        JsonNode removals = body.path("remove");
        if (conditions.size() + writes.size() + removals.size() > MAX_ENTRIES) {
            return Http.reply(400, Http.object().put("error", "too many entries"));
        }
        boolean isMet = true;
        ObjectNode conflict = Http.object();
        ArrayNode current = conflict.putArray("items");
        for (JsonNode row : conditions) {
            Item item = mItems.get(row.path("key").asText());
            long revision = item == null ? 0 : item.revision();
            isMet &= revision == row.path("revision").asLong();
            if (item != null) {
                current.add(toJson(item));
            } else {
                current.addObject().put("key", row.path("key").asText()).put("revision", 0);
            }
        }
        if (!isMet) {
            return Http.reply(412, conflict);
        }
        for (JsonNode row : writes) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return Http.reply(404, Http.object());
            }
            String key = row.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return Http.reply(403, Http.object());
            }
        }
        long revision = ++mRevision;
        for (JsonNode row : writes) {
            write(
                    row.path("key").asText(),
                    row.path("value").asText(),
                    row.path("lease").asLong(),
                    revision);
        }
        for (JsonNode key : removals) {
            if (mItems.containsKey(key.asText())) {
                delete(key.asText(), revision);
            }
        }
        notifyAll();
        return Http.reply(200, Http.object().put("revision", revision));
    }

    private Http.Reply createLease(JsonNode body) {
        Lease lease = new Lease();
        lease.ttlMillis = body.path("ttl_ms").asLong();
        lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
        long id = mNextLease++;
        mLeases.put(id, lease);
        return Http.reply(200, Http.object().put("lease", id).put("ttl_ms", lease.ttlMillis));
    }

    private Http.Reply keepLease(long id) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return Http.reply(404, Http.object());
        }
        lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
        return Http.reply(200, Http.object().put("ttl_ms", lease.ttlMillis));
    }
}
