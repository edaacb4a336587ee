import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * All daemons are restarted in turn while answers of the store are lost: each daemon's registration
 * as stopping is carried out late, when its next process has registered.
 */
final class LostRegistration implements Store.LateCalls, Minion.Work {
    private static final String KEY = "endivetray/live/daemon/";
    private static final long GAP_MILLIS = 1_500;
    private static final long LOST_MILLIS = 4_500;
    private static final long LATE_LEAST_MILLIS = 1_000;
    private static final long LATE_MOST_MILLIS = 6_000;
    private static final long FINISH_MILLIS = 14_000;

    private final Rig mRig;
    private final Set<String> mLate = new HashSet<>();

    private volatile long mLostUntilMillis;

    private LostRegistration(Rig rig) {
        mRig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        new LostRegistration(rig).run();
    }

    @Override
    public int cpu(String task) {
        return 1_800;
    }

    @Override
    public long durationMillis(String task, int run, Minion minion) {
        return 640;
    }

    @Override
    public String how(String task, int run, Minion minion) {
        return "done";
    }

    /** Returns the daemon that a write registers, null if it does not register one. */
    private static JsonNode registration(Http.Request request) {
        JsonNode row = request.body().path("set_keys").path(0);
        return row.path("key").asText().startsWith(KEY)
                ? Store.decode(row.path("value").asText())
                : null;
    }

    @Override
    public synchronized boolean isLate(Http.Request request) {
        JsonNode daemon = registration(request);
        return daemon != null
                && Rig.nowMillis() < mLostUntilMillis
                && daemon.path("isStopping").asBoolean()
                && mLate.add(daemon.path("name").asText());
    }

    @Override
    public void awaitLate(Http.Request request) {
        JsonNode sent = registration(request);
        Http.sleep(LATE_LEAST_MILLIS);
        mRig.mStore.await(() -> isReplaced(sent), LATE_MOST_MILLIS - LATE_LEAST_MILLIS);
    }

    /** Returns whether a later process of the daemon is registered. */
    private boolean isReplaced(JsonNode sent) {
        JsonNode now = mRig.mStore.get(KEY + sent.path("name").asText());
        return now != null
                && now.path("incarnation").asLong() != sent.path("incarnation").asLong();
    }

    private void run() throws Exception {
        mRig.addMinions("arabi-charts", 6, 32_000, "a", this);
        List<Rig.Route> routes = List.of(new Rig.Route("quick-lead", "arabi-charts", 0, 2));
        mRig.start(2, routes);
        List<String> before = submitSome(5);
        Http.sleep(4_000);
        Rig.unless(before.stream().allMatch(id -> isCompleted(id)), "no work before the restart");

        long startWrites = mRig.mStore.mCalls.get();
        if (Rig.hasTrouble()) {
            mLostUntilMillis = Rig.nowMillis() + LOST_MILLIS;
            mRig.mStore.mLateCalls = this;
        }
        List<Thread> restarts = new ArrayList<>();
        for (Daemon daemon : mRig.mDaemons) {
            Thread restart = new Thread(() -> restart(daemon));
            restart.start();
            restarts.add(restart);
            Http.sleep(GAP_MILLIS);
        }
        for (Thread restart : restarts) {
            restart.join();
        }
        Rig.note("case: all daemons are back; writes and renewals since the first SIGTERM: "
                + (mRig.mStore.mCalls.get() - startWrites) + ", without an answer: " + mLate.size());
        // The core and all machines are undisturbed for longer than contact_ms and recovery_s.
        Http.sleep(13_000);

        List<String> jobs = submitSome(10);
        Rig.unless(jobs.size() == 10, "not all submissions were accepted: " + jobs.size());
        Http.sleep(FINISH_MILLIS);
        long completed = jobs.stream().filter(this::isCompleted).count();
        long started = jobs.stream().filter(id -> Rig.starts(id) > 0).count();
        Rig.note("case: live daemons in the store: " + mRig.mStore.keys(KEY) + " owners: "
                + mRig.mStore.keys("endivetray/live/owner/"));
        mRig.finish(
                completed < jobs.size(),
                "LOST: accepted " + jobs.size() + ", started " + started + ", completed "
                        + completed + " after 14 s on idle minions");
    }

    private void restart(Daemon daemon) {
        try {
            daemon.signal("TERM");
            daemon.awaitEnd();
            daemon.start();
            mRig.awaitReady(daemon);
        } catch (Exception e) {
            Rig.unusable("cannot restart " + daemon.mName + ": " + e);
        }
    }

    private List<String> submitSome(int count) {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = mRig.newId();
            ObjectNode step = Http.object().put("count", 2).put("cpu", 1_800).put("mem_mb", 500)
                    .put("estimate_ms", 640);
            List<Daemon> at = new ArrayList<>(mRig.mDaemons);
            Collections.rotate(at, i);
            if (mRig.submit("quick-lead", id, Rig.job("chart " + i, step), at)) {
                accepted.add(id);
            }
            Http.sleep(100);
        }
        return accepted;
    }

    private boolean isCompleted(String id) {
        for (Daemon daemon : mRig.mDaemons) {
            Http.Reply reply = mRig.get("quick-lead", id, daemon);
            if (reply.status() == 200) {
                return reply.body().path("state").asText().equals("completed");
            }
        }
        return false;
    }
}
