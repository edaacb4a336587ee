import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A large submission with checkpoints; its pool's daemon is restarted while work units end. */
final class ProgressLimit {
    static final int COUNT = Integer.getInteger("count", 10_000);
    static final int CHECKPOINT = Integer.getInteger("checkpoint", 64);

    public static void main(String[] args) {
        Lab.Store store = new Lab.Store();
        String pool = "pool-a";
        Map<String, int[]> needs = new ConcurrentHashMap<>();
        List<Lab.Minion> minions = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            minions.add(new Lab.Minion(store, "i-" + i, pool, 32_000, 65_536, CHECKPOINT, needs));
        }
        int cloud = Lab.serveMachines(minions);
        store.put("op/config", Lab.manifest(List.of(pool)));
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            daemons.add(new Lab.Daemon("edge-" + i, store.mPort, cloud));
        }
        daemons.forEach(Lab.Daemon::start);
        for (Lab.Daemon daemon : daemons) {
            if (!daemon.awaitReady(20_000)) {
                Lab.exit(Lab.EXIT_NOT_RUN, "a daemon did not become ready");
            }
        }
        Lab.sleep(3_000);
        String id = "5c0e7a21d94b36f8";
        needs.put(id + ".0", new int[] {10, 10});
        Lab.Answer answer = Lab.call("POST", daemons.get(0).mFront, "/q-pool-a/" + id,
                "{\"spec\":\"work=15000 spread=15000\",\"steps\":[{\"count\":" + COUNT
                        + ",\"cpu\":10,\"mem_mb\":10,\"estimate_ms\":20000,\"checkpointing\":true}]}",
                3_000);
        Lab.record("POST " + id + " -> " + answer);
        if (!answer.isOk()) {
            Lab.exit(Lab.EXIT_NOT_RUN, "the submission was not accepted");
        }
        // The daemon is restarted when a quarter of the work units have ended and are noted.
        long limit = Lab.now() + 60_000;
        while (Lab.now() < limit && count(true) < COUNT / 4) {
            Lab.sleep(50);
        }
        Lab.record("started " + count(false) + " done and noted " + count(true) + " progress record "
                + length(store.get("endivetray/pool/" + pool + "/progress/" + id)));
        if (count(true) < COUNT / 4) {
            Lab.exit(Lab.EXIT_NOT_RUN, "too few work units ended");
        }
        String owner = store.owner(pool);
        if (Lab.TROUBLE) {
            daemons.stream().filter(daemon -> daemon.mName.equals(owner))
                    .forEach(Lab.Daemon::restart);
        }
        Lab.sleep(12_000);
        // TWICE: a start after a run of the same work unit has ended done, and that end was noted.
        Map<String, Lab.Run> done = new HashMap<>();
        int twice = 0;
        List<Lab.Run> runs;
        synchronized (Lab.RUNS) {
            runs = List.copyOf(Lab.RUNS);
        }
        for (Lab.Run run : runs) {
            if (run.mHow.equals("done") && run.mSeenMillis >= 0) {
                Lab.Run earlier = done.get(run.mTask);
                if (earlier == null || run.mEndMillis < earlier.mEndMillis) {
                    done.put(run.mTask, run);
                }
            }
        }
        for (Lab.Run run : runs) {
            Lab.Run first = done.get(run.mTask);
            if (first != null && run.mStartMillis > first.mEndMillis) {
                twice++;
                if (twice <= 20) {
                    Lab.record("TWICE " + run.mTask + ": run " + first.mNumber + " on "
                            + first.mMinion + " ended done at " + first.mEndMillis + ", noted at "
                            + first.mSeenMillis + "; run " + run.mNumber + " started on "
                            + run.mMinion + " at " + run.mStartMillis);
                }
            }
        }
        Lab.Answer state = Lab.call("GET", daemons.get(0).mFront, "/q-pool-a/" + id, null, 3_000);
        Lab.record("GET " + id + " -> " + state);
        String text = "runs=" + runs.size() + " doneAndNoted=" + done.size() + " startedAgain="
                + twice + " storeRefusals=" + store.mRefused;
        Lab.exit(twice > 0 ? Lab.EXIT_BROKEN : 0, text);
    }

    private static int length(String text) {
        return text == null ? 0 : text.length();
    }

    private static int count(boolean isDoneAndNoted) {
        synchronized (Lab.RUNS) {
            return (int) Lab.RUNS.stream().filter(run -> !isDoneAndNoted
                    || run.mHow.equals("done") && run.mSeenMillis >= 0).count();
        }
    }
}
