import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment for the scripts of this review: the project's daemons as processes, with
 * stand-ins of the platform's store, the machine service, the minions and the clients in this
 * process. All addresses are loopback addresses.
 */
final class Lab {
    static final ObjectMapper JSON = new ObjectMapper();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long T0 = System.nanoTime();
    static final int EXIT_BROKEN = 1;
    static final int EXIT_NOT_RUN = 2;
    private static BufferedWriter sRecord;
    private static final List<Daemon> DAEMONS = new ArrayList<>();

    static {
        // Covers an end by a signal; exit() ends the processes itself.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> DAEMONS.forEach(Daemon::destroy)));
    }

    private Lab() {}

    /** Milliseconds since the start of the script. */
    static long now() {
        return (System.nanoTime() - T0) / 1_000_000;
    }

    static synchronized void record(String text) {
        try {
            if (sRecord == null) {
                sRecord = Files.newBufferedWriter(Path.of(System.getProperty("record")));
            }
            sRecord.write(String.format("%8.3f %s%n", now() / 1e3, text));
            sRecord.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(long millis) {
        sleep(millis - now());
    }

    static Thread spawn(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Ends all processes and this one, after the runs that the minions saw are recorded. */
    static void exit(int status, String verdict) {
        synchronized (RUNS) {
            StringBuilder lines = new StringBuilder("runs: work unit, run, minion, start, end, how,"
                    + " noted (seconds since the start of the script)\n");
            for (Run run : RUNS) {
                lines.append(String.format("%s %d %s %.3f %.3f %s %.3f%n", run.mTask, run.mNumber,
                        run.mMinion, run.mStartMillis / 1e3, run.mEndMillis / 1e3, run.mHow,
                        run.mSeenMillis / 1e3));
            }
            record(lines.toString());
        }
        record("verdict: " + verdict);
        DAEMONS.forEach(Daemon::destroy);
        record("exit " + status);
        System.out.println(verdict);
        Runtime.getRuntime().halt(status);
    }

    // ---------------------------------------------------------------- HTTP server

    record Reply(int status, JsonNode body) {}

    interface Handler {
        /** Returns the reply, null for none. */
        Reply handle(String method, String path, Map<String, String> query, HttpExchange exchange,
                JsonNode body) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) {
        try {
            HttpServer server =
                    HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
            server.setExecutor(Executors.newCachedThreadPool());
            server.createContext("/", exchange -> answer(exchange, handler));
            server.start();
            return server;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String part : raw == null ? new String[0] : raw.split("&")) {
                int cut = part.indexOf('=');
                query.put(part.substring(0, cut),
                        URLDecoder.decode(part.substring(cut + 1), StandardCharsets.UTF_8));
            }
            Reply reply = handler.handle(exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(), query, exchange, body);
            if (reply == null) {
                return;
            }
            byte[] out = JSON.writeValueAsBytes(reply.body());
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), out.length);
            try (OutputStream stream = exchange.getResponseBody()) {
                stream.write(out);
            }
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            record("stand-in error " + e);
            exchange.close();
        }
    }

    // ---------------------------------------------------------------- the platform's store

    /** The metadata store of PROTOCOL.md: linearizable, loses nothing, 4 ms an answer. */
    static final class Store {
        static final int WRITES_PER_S = 400;
        static final int READS_PER_S = 2_000;
        static final int VALUE_BYTES = 1_048_576;

        private record Item(String key, String value, long revision, long created, long lease) {}

        private record Event(String key, long revision, Item item) {}

        private record Lease(long ttlMillis, long endNanos) {}

        private final TreeMap<String, Item> mItems = new TreeMap<>();
        private final List<Event> mEvents = new ArrayList<>();
        private final Map<Long, Lease> mLeases = new HashMap<>();
        private long mRevision = 100;
        private long mNextLease = 5_000;
        private long mSecond;
        private double mWrites;
        private double mReads;
        int mRefused;
        final int mPort = freePort();

        Store() {
            serve(mPort, this::handle);
            spawn(this::expire);
        }

        private void expire() {
            while (true) {
                synchronized (this) {
                    long now = System.nanoTime();
                    for (long id : List.copyOf(mLeases.keySet())) {
                        if (now - mLeases.get(id).endNanos() >= 0) {
                            endLease(id);
                        }
                    }
                }
                sleep(10);
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

        private void delete(String key, long revision) {
            mItems.remove(key);
            mEvents.add(new Event(key, revision, null));
            if (key.startsWith("endivetray/live/owner/")) {
                record("store: owner key removed " + key);
            }
        }

        private void write(String key, String value, long lease, long revision) {
            Item earlier = mItems.get(key);
            Item item = new Item(key, value, revision,
                    earlier == null ? revision : earlier.created(), lease);
            mItems.put(key, item);
            mEvents.add(new Event(key, revision, item));
            if (key.startsWith("endivetray/live/owner/")) {
                record("store: owner key written " + key + " token " + revision + " "
                        + new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8));
            }
        }

        /** Writes a key as the operator or a minion does. */
        synchronized void put(String key, JsonNode value) {
            write(key, Base64.getEncoder().encodeToString(
                    value.toString().getBytes(StandardCharsets.UTF_8)), 0, ++mRevision);
            notifyAll();
        }

        synchronized void remove(String key) {
            if (mItems.containsKey(key)) {
                delete(key, ++mRevision);
                notifyAll();
            }
        }

        /** Returns the text of a key, null if there is none. */
        synchronized String get(String key) {
            Item item = mItems.get(key);
            return item == null ? null
                    : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
        }

        /** Returns the name of the daemon that owns a pool's shard, empty if none does. */
        String owner(String pool) {
            String text = get("endivetray/live/owner/" + pool);
            try {
                return text == null ? "" : JSON.readTree(text).path("daemon").asText();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        synchronized int count(String prefix) {
            return (int) mItems.tailMap(prefix).keySet().stream()
                    .takeWhile(key -> key.startsWith(prefix)).count();
        }

        private synchronized boolean admits(boolean isWrite, double cost) {
            long second = System.nanoTime() / 1_000_000_000L;
            if (second != mSecond) {
                mSecond = second;
                mWrites = 0;
                mReads = 0;
            }
            if (isWrite) {
                mWrites += cost;
            } else {
                mReads += cost;
            }
            boolean isAdmitted = mWrites <= WRITES_PER_S && mReads <= READS_PER_S;
            mRefused += isAdmitted ? 0 : 1;
            return isAdmitted;
        }

        private Reply handle(String method, String path, Map<String, String> query,
                HttpExchange exchange, JsonNode body) throws Exception {
            if (!path.equals("/api/kv-watch")) {
                sleep(4);
            }
            boolean isWrite = path.equals("/api/kv-txn") || path.equals("/api/kv-lease")
                    || path.startsWith("/api/kv-lease-end/");
            boolean isStale = "1".equals(query.get("stale_ok"));
            double cost = path.startsWith("/api/kv-keep/") ? 0.1 : isStale ? 0 : 1;
            if (!admits(isWrite, cost)) {
                return new Reply(429, object());
            }
            synchronized (this) {
                switch (path.replaceAll("/\\d+$", "")) {
                    case "/api/kv-key": {
                        Item item = mItems.get(query.get("key"));
                        ObjectNode row = item == null ? object() : toJson(item);
                        return new Reply(item == null ? 404 : 200,
                                row.put("store_revision", mRevision));
                    }
                    case "/api/kv-range":
                        return range(query);
                    case "/api/kv-watch":
                        return watch(query);
                    case "/api/kv-txn":
                        return commit(body);
                    case "/api/kv-lease": {
                        long ttl = body.path("ttl_ms").asLong();
                        mLeases.put(++mNextLease,
                                new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
                        return new Reply(200,
                                object().put("lease", mNextLease).put("ttl_ms", ttl));
                    }
                    case "/api/kv-keep": {
                        long id = Long.parseLong(path.replaceAll(".*/", ""));
                        Lease lease = mLeases.get(id);
                        if (lease == null) {
                            return new Reply(404, object());
                        }
                        mLeases.put(id, new Lease(lease.ttlMillis(),
                                System.nanoTime() + lease.ttlMillis() * 1_000_000));
                        return new Reply(200, object().put("ttl_ms", lease.ttlMillis()));
                    }
                    case "/api/kv-lease-end":
                        endLease(Long.parseLong(path.replaceAll(".*/", "")));
                        return new Reply(200, object());
                    default:
                        return new Reply(404, object());
                }
            }
        }

        private static ObjectNode toJson(Item item) {
            return object().put("key", item.key()).put("value", item.value())
                    .put("revision", item.revision()).put("created", item.created())
                    .put("lease", item.lease());
        }

        private Reply range(Map<String, String> query) {
            String prefix = query.get("prefix");
            String after = query.getOrDefault("after", "");
            ObjectNode body = object();
            ArrayNode rows = body.putArray("items");
            boolean isTruncated = false;
            long bytes = 0;
            for (Item item : mItems.tailMap(after.isEmpty() ? prefix : after, after.isEmpty())
                    .values()) {
                if (!item.key().startsWith(prefix)) {
                    break;
                }
                if (rows.size() == 500 || bytes > 1_000_000) {
                    isTruncated = true;
                    break;
                }
                bytes += item.value().length();
                rows.add(toJson(item));
            }
            return new Reply(200,
                    body.put("truncated", isTruncated).put("store_revision", mRevision));
        }

        private Reply watch(Map<String, String> query) throws InterruptedException {
            String prefix = query.get("prefix");
            long after = Long.parseLong(query.get("after"));
            long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
            int low = 0;
            int high = mEvents.size();
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (mEvents.get(middle).revision() <= after) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            int next = low;
            ObjectNode body = object();
            ArrayNode events = body.putArray("events");
            while (true) {
                for (; next < mEvents.size(); next++) {
                    Event event = mEvents.get(next);
                    if (event.key().startsWith(prefix)) {
                        events.add(event.item() != null ? toJson(event.item())
                                : object().put("key", event.key())
                                        .put("revision", event.revision()).put("deleted", true));
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    return new Reply(200, body.put("store_revision", mRevision));
                }
                wait(left);
            }
        }

        private Reply commit(JsonNode body) {
            JsonNode conditions = body.path("expected_rev");
            JsonNode writes = body.path("set_keys");
            JsonNode removals = body.path("remove");
            boolean isTooLarge = false;
            for (JsonNode row : writes) {
                isTooLarge |= row.path("value").asText().length() * 3L / 4 > VALUE_BYTES
                        || row.path("key").asText().length() > 200;
            }
            if (conditions.size() + writes.size() + removals.size() > 32 || isTooLarge) {
                return new Reply(400, object());
            }
            boolean isMet = true;
            ObjectNode conflict = object();
            ArrayNode current = conflict.putArray("items");
            for (JsonNode row : conditions) {
                Item item = mItems.get(row.path("key").asText());
                isMet &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
                current.add(item != null ? toJson(item)
                        : object().put("key", row.path("key").asText()).put("revision", 0));
            }
            if (!isMet) {
                return new Reply(412, conflict);
            }
            for (JsonNode row : writes) {
                long lease = row.path("lease").asLong();
                if (lease != 0 && !mLeases.containsKey(lease)) {
                    return new Reply(404, object());
                }
            }
            long revision = ++mRevision;
            for (JsonNode row : writes) {
                write(row.path("key").asText(), row.path("value").asText(),
                        row.path("lease").asLong(), revision);
            }
            for (JsonNode key : removals) {
                if (mItems.containsKey(key.asText())) {
                    delete(key.asText(), revision);
                }
            }
            notifyAll();
            return new Reply(200, object().put("revision", revision));
        }
    }

    // ---------------------------------------------------------------- minions

    /** One run of a work unit, as a minion saw it. */
    static final class Run {
        final String mTask;
        final int mNumber;
        final String mMinion;
        final long mStartMillis = now();
        final long mWorkMillis;
        String mCheckpoint;
        long mStopAtMillis = -1;
        volatile long mEndMillis = -1;
        volatile String mHow = "";
        volatile long mSeenMillis = -1;

        Run(String task, int number, String minion, long workMillis, String checkpoint) {
            mTask = task;
            mNumber = number;
            mMinion = minion;
            mWorkMillis = workMillis;
            mCheckpoint = checkpoint;
        }
    }

    /** All runs of all minions, in the order of their starts. */
    static final List<Run> RUNS = new ArrayList<>();

    /** A minion of PROTOCOL.md that guards its capacity. A spec "work=N" works N
     * milliseconds, with "spread=M" up to M more, by the index of the work unit. */
    static final class Minion {
        static final long HOLD_MAX_MILLIS = 6_000;
        static final long STOP_MILLIS = 200;
        static final long SAVE_MILLIS = 1_000;

        private record End(long number, Run run) {}

        final String mId;
        final String mPool;
        final int mCpu;
        final int mMemory;
        final int mPort = freePort();
        final long mBorn = System.currentTimeMillis();
        private final int mCheckpointLength;
        private final long mClockZero = System.nanoTime() - 100_000_000_000L;
        private final Map<String, Run> mRunning = new LinkedHashMap<>();
        private final Map<String, Integer> mLastRun = new HashMap<>();
        private final Map<String, int[]> mNeeds;
        private final List<End> mEnds = new ArrayList<>();
        private long mEndCount;
        private long mLapsedMillis = -1;
        private long mFence;
        private long mDeadline;
        private int mUsedCpu;
        private int mUsedMemory;

        /**
         * @param needs cpu and memory by "ID.STEP", which the lab knows from what clients sent
         */
        Minion(Store store, String id, String pool, int cpu, int memory, int checkpointLength,
                Map<String, int[]> needs) {
            mId = id;
            mPool = pool;
            mCpu = cpu;
            mMemory = memory;
            mCheckpointLength = checkpointLength;
            mNeeds = needs;
            serve(mPort, this::handle);
            ObjectNode entry = object().put("service", pool).put("address", "127.0.0.1:" + mPort)
                    .put("zone", "z-a").put("version", "v1").put("slots", 8)
                    .put("state", "ready").put("cold_remaining_ms", 0);
            entry.putObject("capacity").put("cpu", cpu).put("mem_mb", memory).put("gpu", 0);
            entry.putArray("labels").add("a").add("r1-1");
            store.put("servers/" + id, entry.put("born", mBorn).put("clock_ms", clock())
                    .put("sequence", 1));
            spawn(this::work);
        }

        private long clock() {
            return (System.nanoTime() - mClockZero) / 1_000_000;
        }

        private void work() {
            while (true) {
                synchronized (this) {
                    long now = now();
                    boolean isLapsed = clock() >= mDeadline;
                    mLapsedMillis = isLapsed ? now : mLapsedMillis;
                    for (Run run : List.copyOf(mRunning.values())) {
                        long worked = now - run.mStartMillis;
                        if (run.mStopAtMillis >= 0 && now >= run.mStopAtMillis) {
                            end(run, "stopped");
                        } else if (isLapsed) {
                            end(run, "lapsed");
                        } else if (worked >= run.mWorkMillis) {
                            end(run, "done");
                        } else if (mCheckpointLength > 0 && worked >= SAVE_MILLIS) {
                            run.mCheckpoint = checkpoint(run, worked / SAVE_MILLIS);
                        }
                    }
                }
                sleep(20);
            }
        }

        private String checkpoint(Run run, long number) {
            String text = String.format("%08x%08x", run.mTask.hashCode(), number);
            return text.repeat(1 + mCheckpointLength / 16).substring(0, mCheckpointLength);
        }

        private void end(Run run, String how) {
            mRunning.remove(run.mTask);
            mUsedCpu -= mNeeds.get(stepOf(run.mTask))[0];
            mUsedMemory -= mNeeds.get(stepOf(run.mTask))[1];
            run.mHow = how;
            run.mEndMillis = now();
            mLastRun.merge(run.mTask, run.mNumber, Math::max);
            mEnds.add(new End(++mEndCount, run));
            notifyAll();
        }

        static String stepOf(String task) {
            String[] parts = task.split("\\.");
            return parts[0] + "." + parts[2];
        }

        private synchronized Reply handle(String method, String path, Map<String, String> query,
                HttpExchange exchange, JsonNode body) throws Exception {
            String expected =
                    exchange.getRequestHeaders().getFirst("X-Endivetray-Expect-Instance");
            if (expected != null && !expected.equals(mId)) {
                return new Reply(421, object());
            }
            long token = body.path("fencing_token").asLong();
            if (token < mFence) {
                return refuse("fence");
            }
            mFence = token;
            switch (path) {
                case "/api/run-start":
                    return start(body);
                case "/api/run-stop": {
                    String task = body.path("task").asText();
                    int number = body.path("run").asInt();
                    mLastRun.merge(task, number, Math::max);
                    Run run = mRunning.get(task);
                    if (run != null && run.mNumber == number && run.mStopAtMillis < 0) {
                        run.mStopAtMillis = now() + STOP_MILLIS / 2;
                    }
                    return new Reply(200, object().put("clock_ms", clock()));
                }
                case "/api/pace":
                    return new Reply(200, object().put("clock_ms", clock()));
                case "/api/hold":
                    return hold(body);
                default:
                    return new Reply(404, object());
            }
        }

        private Reply refuse(String reason) {
            return new Reply(409, object().put("clock_ms", clock()).put("reason", reason));
        }

        private void extend(long deadline) {
            mDeadline = Math.max(mDeadline, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
        }

        private Reply start(JsonNode body) {
            String task = body.path("task").asText();
            int number = body.path("run").asInt();
            Run current = mRunning.get(task);
            if (current != null && current.mNumber == number) {
                extend(body.path("deadline_ms").asLong());
                return new Reply(200, object().put("clock_ms", clock()));
            }
            if (body.path("deadline_ms").asLong() <= clock()) {
                return refuse("late");
            }
            extend(body.path("deadline_ms").asLong());
            if (current != null || mLastRun.getOrDefault(task, 0) >= number) {
                return refuse("old");
            }
            int[] needs = mNeeds.get(stepOf(task));
            if (needs == null) {
                record("minion " + mId + ": start of " + task + ", which no client sent");
                return new Reply(400, object());
            }
            if (mUsedCpu + needs[0] > mCpu || mUsedMemory + needs[1] > mMemory) {
                return refuse("room");
            }
            mUsedCpu += needs[0];
            mUsedMemory += needs[1];
            String spec = body.path("spec").asText();
            long work = Long.parseLong(spec.replaceAll("(?s).*work=(\\d+).*", "$1"));
            if (spec.contains("spread=")) {
                long spread = Long.parseLong(spec.replaceAll("(?s).*spread=(\\d+).*", "$1"));
                work += Integer.parseInt(task.replaceAll(".*\\.", "")) * 7_919L % spread;
            }
            Run run = new Run(task, number, mId, work, body.path("checkpoint").asText());
            mRunning.put(task, run);
            synchronized (RUNS) {
                RUNS.add(run);
            }
            return new Reply(200, object().put("clock_ms", clock()));
        }

        private Reply hold(JsonNode body) throws InterruptedException {
            if (body.has("deadline_ms")) {
                extend(body.path("deadline_ms").asLong());
            }
            long seen = body.path("last_seen").asLong();
            for (End end : mEnds) {
                // An end isn't noted if the lease lapsed between the two.
                if (end.number() <= seen && mLapsedMillis < end.run().mEndMillis) {
                    end.run().mSeenMillis = now();
                }
            }
            mEnds.removeIf(end -> end.number() <= seen);
            long until = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
            while (mEnds.isEmpty() && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            ObjectNode reply = object().put("clock_ms", clock()).put("born", mBorn);
            ArrayNode running = reply.putArray("running");
            for (Run run : mRunning.values()) {
                running.addArray().add(run.mTask).add(run.mNumber).add(run.mCheckpoint).add(100)
                        .add(mNeeds.get(stepOf(run.mTask))[0]);
            }
            ArrayNode ended = reply.putArray("finished");
            mEnds.stream().limit(500).forEach(end -> ended.addArray().add(end.number())
                    .add(end.run().mTask).add(end.run().mNumber).add(end.run().mHow)
                    .add(end.run().mCheckpoint));
            return new Reply(200, reply);
        }
    }

    // ---------------------------------------------------------------- machine service

    /** Lists the machines; nothing is moved in these cases. */
    static int serveMachines(List<Minion> minions) {
        int port = freePort();
        serve(port, (method, path, query, exchange, body) -> {
            if (!path.equals("/api/machines")) {
                return new Reply(409, object().put("reason", "busy"));
            }
            ObjectNode reply = object();
            ArrayNode rows = reply.putArray("machines");
            for (Minion minion : minions) {
                ObjectNode row = rows.addObject().put("machine", "m-" + minion.mId)
                        .put("pool", minion.mPool).put("state", "up").put("zone", "z-a");
                row.putArray("labels").add("a").add("r1-1");
                row.putObject("capacity").put("cpu", minion.mCpu).put("mem_mb", minion.mMemory)
                        .put("gpu", 0);
                row.put("id", minion.mId);
            }
            reply.putNull("next_token");
            return new Reply(200, reply);
        });
        return port;
    }

    // ---------------------------------------------------------------- daemons

    /** A daemon as a process, started with the command of deploy/system.toml. */
    static final class Daemon {
        final String mName;
        final int mFront = freePort();
        final int mReady = freePort();
        private final int mInner = freePort();
        private final int mMetrics = freePort();
        private final Path mRoot = Path.of(System.getProperty("root"));
        private final Path mFolder = Path.of(System.getProperty("work"));
        private final int mStorePort;
        private final int mCloudPort;
        private boolean mIsFirst = true;
        volatile Process mProcess;
        volatile boolean mIsWanted;
        volatile int mOwnEnds;

        Daemon(String name, int storePort, int cloudPort) {
            mName = name;
            mStorePort = storePort;
            mCloudPort = cloudPort;
            synchronized (DAEMONS) {
                DAEMONS.add(this);
            }
        }

        void start() {
            try {
                // The bounds are those of the site mirc-kochi.
                String settings = "{\"name\":\"" + mName + "\",\"zone\":\"z-a\",\"host\":\"127.0.0.1\""
                        + ",\"front\":\"127.0.0.1:" + mFront + "\",\"ready\":\"127.0.0.1:" + mReady
                        + "\",\"innerPort\":" + mInner + ",\"metricsPort\":" + mMetrics
                        + ",\"store\":\"127.0.0.1:" + mStorePort + "\",\"machines\":\"127.0.0.1:"
                        + mCloudPort + "\",\"advice\":\"\",\"cpuShare\":0.75,\"cores\":1"
                        + ",\"bootstrap\":" + mIsFirst + ",\"maxLeaseMillis\":6000"
                        + ",\"stopMillis\":200,\"holderMillis\":3000,\"retentionSeconds\":120"
                        + ",\"graceSeconds\":6,\"silenceMillis\":3000,\"farFactor\":3"
                        + ",\"logLevel\":\"INFO\"}";
                mIsFirst = false;
                Path file = mFolder.resolve(mName + ".json");
                Files.writeString(file, settings);
                String run = Files.readAllLines(mRoot.resolve("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
                        .replaceAll("^run = \"(.*)\"$", "$1");
                ProcessBuilder builder = new ProcessBuilder(run.split(" "));
                builder.directory(mRoot.toFile());
                builder.environment().put("ENDIVETRAY_BOOT", file.toString());
                builder.redirectErrorStream(true);
                builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                        mFolder.resolve(mName + ".log").toFile()));
                mIsWanted = true;
                mProcess = builder.start();
                record("daemon " + mName + " started pid " + mProcess.pid());
                Process started = mProcess;
                spawn(() -> watch(started));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Starts the process again after a short delay if it ends by itself, as the platform does. */
        private void watch(Process process) {
            try {
                int status = process.waitFor();
                record("daemon " + mName + " ended status " + status
                        + (mIsWanted ? " BY ITSELF" : ""));
                if (mIsWanted) {
                    mOwnEnds++;
                    sleep(500);
                    if (mIsWanted) {
                        start();
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Stops the process with SIGTERM and starts it again once it has ended. */
        void restart() {
            mIsWanted = false;
            record("daemon " + mName + " SIGTERM");
            mProcess.destroy();
            try {
                if (!mProcess.waitFor(6, TimeUnit.SECONDS)) {
                    record("daemon " + mName + " SIGKILL after the grace period");
                    mProcess.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            sleep(500);
            start();
        }

        /** Kills the process, as a loss of the machine does. */
        void kill() {
            mIsWanted = false;
            record("daemon " + mName + " SIGKILL");
            mProcess.destroyForcibly();
        }

        void destroy() {
            mIsWanted = false;
            if (mProcess != null) {
                mProcess.destroyForcibly();
                try {
                    mProcess.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        boolean awaitReady(long millis) {
            long end = now() + millis;
            while (now() < end) {
                Answer answer = call("GET", mReady, "/api/ready", null, 500);
                if (answer.status() == 200) {
                    return true;
                }
                sleep(100);
            }
            return false;
        }
    }

    // ---------------------------------------------------------------- clients

    record Answer(int status, String body) {
        boolean isOk() {
            return status / 100 == 2;
        }

        String state() {
            try {
                return JSON.readTree(body).path("state").asText();
            } catch (IOException e) {
                return "";
            }
        }
    }

    private static final HttpClient HTTP = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();

    /** Sends a request; the status is 0 if there is no answer in time. */
    static Answer call(String method, int port, String path, String body, long timeoutMillis) {
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + port + path))
                    .timeout(Duration.ofMillis(timeoutMillis))
                    .header("Content-Type", "application/json")
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(body))
                    .build();
            HttpResponse<String> response =
                    HTTP.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }

    /** Returns a manifest with one queue "/q-POOL/" for each pool. */
    static ObjectNode manifest(List<String> pools) {
        ObjectNode config = object().put("version", 1);
        ArrayNode routes = config.putArray("routes");
        ArrayNode services = config.putArray("services");
        for (String pool : pools) {
            routes.addObject().put("name", "r-" + pool).put("host", "127.0.0.1")
                    .put("prefix", "/q-" + pool + "/").put("type", "non_idempotent")
                    .put("timeout_ms", 3000).put("target_latency_ms", 600).put("priority", 0)
                    .put("service", pool).put("attempts", 2).put("stretch", 1.6);
            services.addObject().put("name", pool).put("health_path", "/health")
                    .put("max_connections", 64).put("protocol", "h1").put("tls", false)
                    .put("enforces_capacity", true).put("standby", false);
        }
        config.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 262144)
                .put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
        return config;
    }
}
