package review.rig;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the stand-ins of the platform and the minions in this
 * process, and daemons as processes of their own. Everything that is seen goes to the record.
 */
public final class Rig {
    /** Exit codes of a case. */
    public static final int HELD = 0;

    public static final int BROKEN = 1;
    public static final int NOT_RUN = 2;

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int MAX_TRIES = 5;
    private static final long STEADY_NANOS = 6_000_000_000L;

    public static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** A case: returns whether the rule held. */
    public interface Case {
        boolean run(Rig rig, boolean isTrouble) throws Exception;
    }

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mRecord;
    private final Path mFolder;
    private final Path mRoot;
    private final Jobs mJobs = new Jobs();
    private final Store mStore;
    private final Cloud mCloud;
    private final List<Minion> mMinions = new CopyOnWriteArrayList<>();
    private final List<Process> mProcesses = new CopyOnWriteArrayList<>();
    private final List<String> mBreaches = new CopyOnWriteArrayList<>();
    private final Map<String, String> mRunningAt = new ConcurrentHashMap<>();
    private final Map<String, List<String>> mDone = new ConcurrentHashMap<>();
    private final Map<String, Long> mLateStarts = new ConcurrentHashMap<>();
    private final Set<String> mNoted = ConcurrentHashMap.newKeySet();
    private final Set<String> mStartedAfterDone = ConcurrentHashMap.newKeySet();

    private volatile String mLateAt = "";

    private Rig(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        mFolder = Files.createTempDirectory("review");
        mRoot = Path.of("").toAbsolutePath();
        mStore = new Store();
        mCloud = new Cloud(this);
        Thread reports = new Thread(this::report, "reports");
        reports.setDaemon(true);
        reports.start();
    }

    /** Lets the minions report, and removes the entries of those that have been silent too long. */
    private void report() {
        while (true) {
            sleep(HEARTBEAT_MILLIS);
            mMinions.forEach(Minion::register);
        }
    }

    /** Ends a minion without a word; its entry is removed after three intervals of silence. */
    public void crash(Minion minion) {
        record("minion " + minion.id() + " crashes");
        minion.kill();
        Thread removal =
                new Thread(
                        () -> {
                            sleep(3 * HEARTBEAT_MILLIS);
                            if (minions().stream().noneMatch(it -> it.id().equals(minion.id()))) {
                                mStore.remove("servers/" + minion.id());
                            }
                        });
        removal.setDaemon(true);
        removal.start();
    }

    /**
     * Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
     * run. The first argument is the file of the record.
     */
    public static void main(String[] args, Case run) throws IOException {
        Rig rig = new Rig(Path.of(args[0]));
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
        int exit;
        try {
            rig.record(isTrouble ? "with the disruption" : "without the disruption");
            boolean hasHeld = run.run(rig, isTrouble);
            exit = hasHeld ? HELD : BROKEN;
        } catch (NotRun e) {
            rig.record("the case could not run: " + e.getMessage());
            exit = NOT_RUN;
        } catch (Exception e) {
            e.printStackTrace();
            rig.record("the case could not run: " + e);
            exit = NOT_RUN;
        }
        rig.record("exit " + exit);
        rig.endProcesses();
        Runtime.getRuntime().exit(exit);
    }

    /** Thrown when the case did not come to the point that it tests. */
    public static final class NotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        public NotRun(String message) {
            super(message);
        }
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public Store store() {
        return mStore;
    }

    public Cloud cloud() {
        return mCloud;
    }

    public Jobs jobs() {
        return mJobs;
    }

    public Path folder() {
        return mFolder;
    }

    public Path root() {
        return mRoot;
    }

    public List<Minion> minions() {
        return mMinions.stream().filter(Minion::isUp).toList();
    }

    void add(Minion minion) {
        mMinions.add(minion);
    }

    void own(Process process) {
        mProcesses.add(process);
    }

    private void endProcesses() {
        mProcesses.forEach(Process::destroyForcibly);
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(mFolder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                // The folder has been deleted already.
            }
        }
    }

    /** Returns the time since the start of the case, in seconds. */
    public double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    public synchronized void record(String line) {
        mRecord.println(String.format("%8.3f %s", seconds(), line));
    }

    /** Records that a rule was broken. */
    public void breach(String rule, String what) {
        mBreaches.add(rule + ": " + what);
        record("BROKEN " + rule + ": " + what);
    }

    public boolean isBroken(String rule) {
        return mBreaches.stream().anyMatch(breach -> breach.startsWith(rule + ":"));
    }

    /** Lets the first start of a work unit go unanswered and be carried out later. */
    public void delayStart(String task, long millis) {
        mLateStarts.put(task, millis);
    }

    void onHeldBack(Minion minion) {
        mLateAt = minion.id();
    }

    /** Returns the id of the minion whose start was held back last, empty if there is none. */
    public String lateAt() {
        return mLateAt;
    }

    /** Returns the delay of the next start of a work unit, once; 0 if there is none. */
    long lateMillis(String task) {
        Long millis = mLateStarts.remove(task);
        return millis == null ? 0 : millis;
    }

    /** Called by a minion before it starts a run, while it holds its lock. */
    void onStart(Minion minion, String task, int run, Jobs.Step step) {
        record("minion " + minion.id() + " starts " + task + " run " + run);
        int used = minion.usedCpu();
        if (used + step.mCpu > minion.cpu()) {
            breach(
                    "LIMIT",
                    "minion " + minion.id() + " of " + minion.cpu() + " runs " + used + " "
                            + minion.running() + " and starts " + step.mCpu + " " + task);
        }
        String other = mRunningAt.put(task, minion.id());
        if (other != null) {
            breach("TWICE", task + " runs on " + other + " and starts on " + minion.id());
        }
        if (mDone.containsKey(task) && !step.mLasts) {
            mStartedAfterDone.addAll(mDone.get(task));
            mDone.get(task).stream().filter(mNoted::contains).forEach(this::breachAfterDone);
        }
    }

    /** Called by a minion after the end of a run. */
    void onEnd(Minion minion, String task, int run, String how) {
        record("minion " + minion.id() + " ended " + task + " run " + run + " " + how);
        mRunningAt.remove(task, minion.id());
        if (how.equals("done")) {
            mDone.computeIfAbsent(task, ignored -> new CopyOnWriteArrayList<>())
                    .add(endName(minion, task, run));
        }
    }

    /** Called when an end is taken note of, with whether the lease has lapsed since the end. */
    void onNoted(Minion minion, String task, int run, String how, boolean hasLapsed) {
        if (how.equals("done") && !hasLapsed) {
            String end = endName(minion, task, run);
            mNoted.add(end);
            if (mStartedAfterDone.contains(end)) {
                breachAfterDone(end);
            }
        }
    }

    private static String endName(Minion minion, String task, int run) {
        return task + " run " + run + " on " + minion.id();
    }

    private void breachAfterDone(String end) {
        breach("TWICE", "a start after " + end + " has ended done, which was taken note of");
    }

    /** Called when a run has ended with its minion. */
    void onGone(Minion minion, String task) {
        mRunningAt.remove(task, minion.id());
    }

    public boolean isDone(String task) {
        return mDone.containsKey(task);
    }

    /** Returns the minions on which a work unit runs. */
    public List<Minion> minionsOf(String task) {
        return minions().stream().filter(minion -> minion.running().contains(task)).toList();
    }

    /** Returns the work units that run now and whose names begin so. */
    public List<String> runningOf(String prefix) {
        List<String> tasks = new ArrayList<>();
        minions().forEach(
                minion ->
                        minion.running().stream()
                                .filter(task -> task.startsWith(prefix))
                                .forEach(tasks::add));
        return tasks;
    }

    /** Hands a submission in as a client does, until it is accepted. */
    public void submit(Daemon daemon, String path, Jobs.Job job) {
        for (int i = 0; i < MAX_TRIES; i++) {
            if (daemon.send("POST", path, job.body().toString()).status() == 200) {
                return;
            }
            sleep(500);
        }
        throw new NotRun("a submission was not accepted: " + path);
    }

    /** Waits for a condition; the case has not run if it is not met in time. */
    public void await(String what, long millis, BooleanSupplier condition) {
        if (!holdsWithin(millis, condition)) {
            throw new NotRun("not reached within " + millis + " ms: " + what);
        }
    }

    public boolean holdsWithin(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(20);
        }
        return condition.getAsBoolean();
    }

    /** A route of the manifest: its prefix and its service. */
    public record Route(String name, String prefix, String service) {}

    /** Writes a manifest with the routes, and with the services that they and the list name. */
    public void putManifest(
            long version, List<Route> routes, List<String> services, boolean enforces) {
        ObjectNode manifest = Http.object().put("version", version);
        ArrayNode rows = manifest.putArray("routes");
        for (Route route : routes) {
            rows.addObject()
                    .put("name", route.name())
                    .put("host", "yard.example")
                    .put("prefix", route.prefix())
                    .put("type", "non_idempotent")
                    .put("timeout_ms", 3_000)
                    .put("target_latency_ms", 600)
                    .put("priority", 0)
                    .put("service", route.service())
                    .put("attempts", 4)
                    .put("stretch", 1.6);
        }
        ArrayNode pools = manifest.putArray("services");
        for (String service : services) {
            pools.addObject()
                    .put("name", service)
                    .put("health_path", "/health")
                    .put("max_connections", 64)
                    .put("protocol", "h1")
                    .put("tls", false)
                    .put("enforces_capacity", enforces)
                    .put("standby", false);
        }
        manifest.putObject("limits").put("max_body_bytes", 262_144);
        mStore.put("op/config", manifest);
        record("manifest " + version + " confirmed, routes " + routes);
    }

    /** Starts daemons and waits until all are ready. */
    public List<Daemon> startDaemons(int count) throws IOException {
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            Daemon daemon = new Daemon(this, "edge-" + i);
            daemons.add(daemon);
            daemon.start();
        }
        await("daemons ready", 20_000, () -> daemons.stream().allMatch(Daemon::isReady));
        return daemons;
    }

    /**
     * Waits until each shard has had the same owner for some seconds, since the daemons share the
     * shards out again after a start.
     */
    public void awaitSteadyOwners(List<String> services) {
        long[] since = {System.nanoTime()};
        List<List<String>> last = new ArrayList<>(List.of(List.of()));
        await(
                "steady owners",
                40_000,
                () -> {
                    List<String> owners = services.stream().map(this::owner).toList();
                    if (owners.contains("") || !owners.equals(last.get(0))) {
                        last.set(0, owners);
                        since[0] = System.nanoTime();
                    }
                    return System.nanoTime() - since[0] >= STEADY_NANOS;
                });
        services.forEach(service -> record("owner of " + service + " is " + owner(service)));
    }

    /** Returns the name of the daemon that owns a pool's shard, as it stands in the store. */
    public String owner(String shard) {
        var owner = mStore.get("endivetray/live/owner/" + shard);
        return owner == null ? "" : owner.path("daemon").asText();
    }
}
