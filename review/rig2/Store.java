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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * The platform's metadata store: linearizable, with conditions, leases and watches. A fault may
 * take the answers of single calls and carry these out late.
 */
final class Store {
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;
    private static final int MAX_ENTRIES = 32;

    record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        long mTtlMillis;
        long mEndNanos;
    }

    /** Decides which calls get no answer and are carried out late. */
    interface LateCalls {
        /** Returns whether this write or renewal gets no answer. */
        boolean isLate(Http.Request request);

        /** Waits until the call is to be carried out. */
        void awaitLate(Http.Request request);
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mNextLease = 5_000;
    private final int mPort;
    volatile LateCalls mLateCalls;

    private volatile boolean mIsDown;
    private long mDownNanos;

    final AtomicInteger mCalls = new AtomicInteger();

    Store() throws IOException {
        mPort = Http.serve(this::handle);
        Http.spawn(this::expireLeases);
    }

    int port() {
        return mPort;
    }

    /** Writes a key as the operator or a minion does. */
    synchronized void put(String key, JsonNode value) {
        byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
        write(key, Base64.getEncoder().encodeToString(bytes), 0, ++mRevision);
        notifyAll();
    }

    /** Returns the decoded value of a key, null if it does not exist. */
    synchronized JsonNode get(String key) {
        Item item = mItems.get(key);
        return item == null ? null : decode(item.value());
    }

    /** Takes the store down or up; while it is down, it carries nothing out and leases pause. */
    synchronized void setDown(boolean isDown) {
        if (isDown) {
            mDownNanos = System.nanoTime();
        } else if (mIsDown) {
            long pause = System.nanoTime() - mDownNanos;
            mLeases.values().forEach(lease -> lease.mEndNanos += pause);
        }
        mIsDown = isDown;
        Rig.note("store: " + (isDown ? "down" : "up"));
    }

    synchronized List<String> keys(String prefix) {
        List<String> keys = new ArrayList<>();
        for (String key : mItems.tailMap(prefix, true).keySet()) {
            if (!key.startsWith(prefix)) {
                break;
            }
            keys.add(key);
        }
        return keys;
    }

    static JsonNode decode(String value) {
        try {
            return Http.JSON.readTree(Base64.getDecoder().decode(value));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void write(String key, String value, long lease, long revision) {
        Item earlier = mItems.get(key);
        Item item =
                new Item(key, value, revision, earlier == null ? revision : earlier.created(), lease);
        mItems.put(key, item);
        mHistory.add(new Event(revision, key, item));
        if (key.startsWith("endivetray/live/")) {
            Rig.note("store: " + key + " = " + decode(value) + " revision " + revision
                    + " lease " + lease);
        }
    }

    private void delete(String key, long revision) {
        mItems.remove(key);
        mHistory.add(new Event(revision, key, null));
        if (key.startsWith("endivetray/live/")) {
            Rig.note("store: " + key + " removed");
        }
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (long id : List.copyOf(mLeases.keySet())) {
                    if (!mIsDown && now - mLeases.get(id).mEndNanos >= 0) {
                        Rig.note("store: lease " + id + " expires");
                        endLease(id);
                    }
                }
            }
            Http.sleep(10);
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

    private Http.Reply handle(Http.Request request) throws InterruptedException {
        String path = request.path();
        if (!path.equals("/api/kv-watch")) {
            Http.sleep(ANSWER_MILLIS);
        }
        if (mIsDown) {
            return null;
        }
        if (request.method().equals("POST")) {
            mCalls.incrementAndGet();
            LateCalls late = mLateCalls;
            if (late != null && late.isLate(request)) {
                Rig.note("store: no answer, carried out later: " + path + " " + keysOf(request));
                late.awaitLate(request);
                Http.Reply reply = execute(request);
                Rig.note("store: late " + path + " " + keysOf(request) + ": " + reply.status());
                return null;
            }
        }
        Http.Reply reply = execute(request);
        return mIsDown ? null : reply;
    }

    private Http.Reply execute(Http.Request request) throws InterruptedException {
        String path = request.path();
        long number = path.matches(".*/\\d+") ? Long.parseLong(path.replaceAll(".*/", "")) : 0;
        return switch (path.replaceAll("/\\d+$", "")) {
            case "/api/kv-key" -> readKey(request.query().get("key"));
            case "/api/kv-range" -> readRange(request.query());
            case "/api/kv-watch" -> watch(request.query());
            case "/api/kv-txn" -> commit(request.body());
            case "/api/kv-lease" -> createLease(request.body());
            case "/api/kv-keep" -> keepLease(number);
            case "/api/kv-lease-end" -> {
                synchronized (this) {
                    endLease(number);
                }
                yield Http.reply(200, Http.object());
            }
            default -> Http.reply(404, Http.object());
        };
    }

    private static List<String> keysOf(Http.Request request) {
        return request.body().path("set_keys").findValuesAsText("key");
    }

    private static ObjectNode toJson(Item item) {
        return Http.object()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private synchronized Http.Reply readKey(String key) {
        Item item = mItems.get(key);
        ObjectNode body = item == null ? Http.object() : toJson(item);
        body.put("store_revision", mRevision);
        return Http.reply(item == null ? 404 : 200, body);
    }

    private synchronized Http.Reply readRange(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        ObjectNode body = Http.object();
        ArrayNode rows = body.putArray("items");
        boolean isTruncated = false;
        for (Item item : mItems.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (rows.size() == PAGE_ITEMS) {
                isTruncated = true;
                break;
            }
            rows.add(toJson(item));
        }
        body.put("truncated", isTruncated).put("store_revision", mRevision);
        return Http.reply(200, body);
    }

    private synchronized Http.Reply watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        int next = firstEventAfter(after);
        ObjectNode body = Http.object();
        ArrayNode events = body.putArray("events");
        while (true) {
            for (; next < mHistory.size(); next++) {
                Event event = mHistory.get(next);
                if (event.key().startsWith(prefix)) {
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

    private synchronized Http.Reply commit(JsonNode body) {
        JsonNode conditions = body.path("expected_rev");
        JsonNode writes = body.path("set_keys");
        JsonNode removals = body.path("remove");
        if (conditions.size() + writes.size() + removals.size() > MAX_ENTRIES) {
            return Http.reply(400, Http.object());
        }
        boolean isMet = true;
        ObjectNode conflict = Http.object();
        ArrayNode current = conflict.putArray("items");
        for (JsonNode row : conditions) {
            Item item = mItems.get(row.path("key").asText());
            isMet &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
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

    private synchronized Http.Reply createLease(JsonNode body) {
        Lease lease = new Lease();
        lease.mTtlMillis = body.path("ttl_ms").asLong();
        lease.mEndNanos = System.nanoTime() + lease.mTtlMillis * 1_000_000;
        long id = mNextLease++;
        mLeases.put(id, lease);
        return Http.reply(200, Http.object().put("lease", id).put("ttl_ms", lease.mTtlMillis));
    }

    /** Waits until a condition holds that a write may change, or until a time has passed. */
    synchronized void await(BooleanSupplier condition, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        try {
            while (!condition.getAsBoolean() && end - System.nanoTime() > 1_000_000) {
                wait((end - System.nanoTime()) / 1_000_000);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized Http.Reply keepLease(long id) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return Http.reply(404, Http.object());
        }
        lease.mEndNanos = System.nanoTime() + lease.mTtlMillis * 1_000_000;
        return Http.reply(200, Http.object().put("ttl_ms", lease.mTtlMillis));
    }
}
