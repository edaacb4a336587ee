import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A small deployment on the loopback address: the platform and the minions in this process, the
 * daemons as processes of their own. Writes what was sent, answered and run to record.txt.
 */
final class Rig implements AutoCloseable {
    static final String ROUTE_HOST = "pule25.example";
    static final int CLIENT_TIMEOUT_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter sRecord;

    /** What the minions have seen, by work unit. */
    static final Map<String, Integer> STARTS = new HashMap<>();


    /** Times of the starts (1) and ends (0) of runs. */
    private static final Map<String, List<long[]>> EVENTS = new HashMap<>();

    final Path mRoot;
    final Path mFolder;
    final Store mStore;
    final int mCloudPort;
    final List<Minion> mMinions = new ArrayList<>();
    final List<Daemon> mDaemons = new ArrayList<>();
    private final Random mRandom = new Random(7);
    private long mVersion = 3;

    /** Queue, service and priority, in the order of the manifest. */
    record Route(String name, String service, int priority, int attempts) {}

    Rig(Path caseFolder) throws IOException {
        synchronized (Rig.class) {
            sRecord = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        }
        mRoot = Path.of("").toAbsolutePath();
        mFolder = Files.createTempDirectory("review-2.");
        mStore = new Store();
        mCloudPort = Http.serve(this::onCloud);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> mDaemons.forEach(Daemon::destroy)));
    }

    static synchronized void note(String text) {
        if (sRecord != null) {
            sRecord.printf("%9.3f %s%n", nowMillis() / 1e3, text);
            sRecord.flush();
        }
    }

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void onStart(Minion minion, String task, int run) {
        synchronized (STARTS) {
            STARTS.merge(task, 1, Integer::sum);
            EVENTS.computeIfAbsent(task, ignored -> new ArrayList<>())
                    .add(new long[] {nowMillis(), 1});
        }
        note("minion " + minion.mId + ": start " + task + " run " + run);
    }

    static void onEnd(Minion minion, String task, int run, String how) {
        synchronized (STARTS) {
            EVENTS.computeIfAbsent(task, ignored -> new ArrayList<>())
                    .add(new long[] {nowMillis(), 0});
        }
        note("minion " + minion.mId + ": end " + task + " run " + run + " " + how);
    }

    static int starts(String job) {
        synchronized (STARTS) {
            return STARTS.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(job + "."))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }
    }

    /** Returns the times from each end of a run of a work unit to its next start, or to now. */
    static List<long[]> absences(String task) {
        synchronized (STARTS) {
            List<long[]> absences = new ArrayList<>();
            List<long[]> events = EVENTS.getOrDefault(task, List.of());
            for (int i = 0; i < events.size(); i++) {
                if (events.get(i)[1] == 0) {
                    long next = i + 1 < events.size() ? events.get(i + 1)[0] : nowMillis();
                    absences.add(new long[] {events.get(i)[0], next});
                }
            }
            return absences;
        }
    }

    private Http.Reply onCloud(Http.Request request) {
        if (request.path().equals("/api/machines")) {
            ObjectNode body = Http.object();
            ArrayNode machines = body.putArray("machines");
            mMinions.forEach(minion -> machines.add(minion.machine()));
            return Http.reply(200, body.put("next_token", ""));
        }
        // No wave is requested, and no machine may leave its pool here.
        note("cloud: refused " + request.path() + " " + request.body());
        return Http.reply(409, Http.object().put("reason", "busy"));
    }

    void addMinions(String service, int count, int cpu, String label, Minion.Work work)
            throws IOException {
        for (int i = 0; i < count; i++) {
            int number = mMinions.size() + 1;
            mMinions.add(new Minion("w" + number, service, label, cpu, work));
        }
    }

    /** Writes a new version of the manifest, which the store confirms at once. */
    void writeManifest(List<Route> routes) {
        ObjectNode manifest = Http.object().put("version", mVersion += 2);
        ArrayNode rows = manifest.putArray("routes");
        Map<String, Boolean> services = new LinkedHashMap<>();
        for (Route route : routes) {
            rows.addObject().put("name", route.name()).put("host", ROUTE_HOST)
                    .put("prefix", prefix(route.name())).put("service", route.service())
                    .put("priority", route.priority()).put("attempts", route.attempts())
                    .put("stretch", 1.6).put("target_latency_ms", 600).put("timeout_ms", 3_000);
        }
        mMinions.forEach(minion -> services.put(minion.mService, true));
        ArrayNode list = manifest.putArray("services");
        services.keySet()
                .forEach(name -> list.addObject().put("name", name).put("enforces_capacity", true));
        manifest.putObject("limits");
        mStore.put("op/config", manifest);
        note("operator: manifest " + manifest);
    }

    static String prefix(String queue) {
        return "/" + queue + "/";
    }

    void start(int daemons, List<Route> routes) throws IOException {
        writeManifest(routes);
        Http.spawn(
                () -> {
                    while (true) {
                        mMinions.forEach(
                                minion -> mStore.put("servers/" + minion.mId, minion.entry()));
                        Http.sleep(HEARTBEAT_MILLIS);
                    }
                });
        for (int i = 1; i <= daemons; i++) {
            mDaemons.add(new Daemon(this, "edge-" + i));
        }
        for (Daemon daemon : mDaemons) {
            daemon.start();
        }
        for (Daemon daemon : mDaemons) {
            awaitReady(daemon);
        }
        // Traffic starts 15 s after the machines in the deployments; all pools have owners by then.
        Http.sleep(4_000);
    }

    void awaitReady(Daemon daemon) {
        for (int i = 0; i < 200; i++) {
            if (daemon.isReady()) {
                note("daemon: " + daemon.mName + " is ready");
                return;
            }
            Http.sleep(100);
        }
        unusable(daemon.mName + " was not ready within 20 s");
    }

    /** Ends the case with the status that says that it could not run. */
    static void unusable(String reason) {
        note("case: could not run: " + reason);
        System.out.println("could not run: " + reason);
        System.exit(2);
    }

    static void unless(boolean condition, String reason) {
        if (!condition) {
            unusable(reason);
        }
    }

    /** Returns the daemon that owns the shard of a service, null if there is none. */
    Daemon ownerOf(String service) {
        JsonNode owner = mStore.get("endivetray/live/owner/" + service);
        return owner == null
                ? null
                : mDaemons.stream()
                        .filter(each -> each.mName.equals(owner.path("daemon").asText()))
                        .findFirst()
                        .orElse(null);
    }

    String newId() {
        synchronized (mRandom) {
            return String.format("%016x", mRandom.nextLong());
        }
    }

    static ObjectNode job(String spec, ObjectNode... steps) {
        ObjectNode job = Http.object().put("spec", spec);
        ArrayNode rows = job.putArray("steps");
        for (ObjectNode step : steps) {
            rows.add(step);
        }
        return job;
    }

    /** Sends a submission as a client does: at most four retries, each at another daemon. */
    boolean submit(String queue, String id, JsonNode job, List<Daemon> at) {
        for (int i = 0; i < 5; i++) {
            Daemon daemon = at.get(i % at.size());
            Http.Reply reply =
                    Http.call(
                            daemon.mFront,
                            "POST",
                            prefix(queue) + id,
                            ROUTE_HOST,
                            job,
                            CLIENT_TIMEOUT_MILLIS);
            note("client: POST " + queue + " " + id + " at " + daemon.mName + ": "
                    + reply.status() + " " + reply.body());
            if (reply.isSuccess()) {
                return true;
            }
            Http.sleep(200);
        }
        return false;
    }

    Http.Reply get(String queue, String id, Daemon daemon) {
        Http.Reply reply =
                Http.call(
                        daemon.mFront,
                        "GET",
                        prefix(queue) + id,
                        ROUTE_HOST,
                        null,
                        CLIENT_TIMEOUT_MILLIS);
        note("client: GET " + queue + " " + id + " at " + daemon.mName + ": " + reply.status()
                + " " + reply.body());
        return reply;
    }

    /** Ends all processes and the case: status 1 if the rule was broken, else 0. */
    void finish(boolean isBroken, String what) {
        note("case: " + (isBroken ? "BROKEN " : "held ") + what);
        System.out.println((isBroken ? "BROKEN " : "held ") + what);
        close();
        System.exit(isBroken ? 1 : 0);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::destroy);
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(mFolder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(mFolder);
            } catch (IOException e) {
                System.err.println("cannot remove " + mFolder + ": " + e);
            }
        } else {
            System.out.println("kept " + mFolder);
        }
    }
}
