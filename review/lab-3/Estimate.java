import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One submission whose estimate is the largest whole number of 64 bits, beside ordinary ones. */
final class Estimate {
    private static final int ORDINARY = 40;

    private record Accepted(String id, int workUnits) {}

    public static void main(String[] args) {
        Lab.Store store = new Lab.Store();
        String pool = "pool-a";
        Map<String, int[]> needs = new ConcurrentHashMap<>();
        List<Lab.Minion> minions = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            minions.add(new Lab.Minion(store, "i-" + i, pool, 32_000, 65_536, 0, needs));
        }
        int cloud = Lab.serveMachines(minions);
        ObjectNode manifest = Lab.manifest(List.of(pool));
        // A second queue on the same service, as each service of the sites has.
        ObjectNode second = (ObjectNode) manifest.path("routes").get(0).deepCopy();
        manifest.withArray("routes").add(second.put("name", "r-long").put("prefix", "/long/"));
        store.put("op/config", manifest);
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
        String odd = "def0000000000000";
        needs.put(odd + ".0", new int[] {1_000, 512});
        String estimate = Lab.TROUBLE ? "9223372036854775807" : "90000";
        Lab.Answer first = Lab.call("POST", daemons.get(0).mFront, "/long/" + odd,
                "{\"spec\":\"work=90000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":512,"
                        + "\"estimate_ms\":" + estimate + "}]}", 3_000);
        Lab.record("POST " + odd + " estimate_ms " + estimate + " -> " + first);
        if (!first.isOk()) {
            Lab.exit(Lab.EXIT_NOT_RUN, "the submission was not accepted");
        }
        Lab.sleep(2_000);
        List<Accepted> accepted = new ArrayList<>();
        for (int i = 0; i < ORDINARY; i++) {
            String id = String.format("%016x", 0xabc0000000000000L + i);
            boolean isTight = i % 4 == 3;
            needs.put(id + ".0", new int[] {1_000, 512});
            Lab.Answer answer = Lab.call("POST", daemons.get(i % 3).mFront, "/q-pool-a/" + id,
                    "{\"spec\":\"work=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":512,"
                            + "\"estimate_ms\":1000" + (isTight ? ",\"same_rack\":true" : "")
                            + "}]}", 3_000);
            Lab.record("POST ordinary " + id + (isTight ? " same_rack" : "") + " -> " + answer);
            if (answer.isOk()) {
                accepted.add(new Accepted(id, 2));
            }
            Lab.sleep(500);
        }
        Lab.record("end of the traffic");
        Lab.sleep(14_000);
        // The check of LOST: known and answered in time, and no 3 s with nothing running while
        // there is room and under half of the pool is in use.
        long from = Lab.now();
        int mostUsed = 0;
        while (Lab.now() - from < 3_000) {
            int used = 0;
            synchronized (Lab.RUNS) {
                for (Lab.Run run : Lab.RUNS) {
                    used += run.mEndMillis < 0 ? needs.get(Lab.Minion.stepOf(run.mTask))[0] : 0;
                }
            }
            mostUsed = Math.max(mostUsed, used);
            Lab.sleep(50);
        }
        long to = Lab.now();
        int idle = 0;
        int unanswered = 0;
        for (Accepted each : accepted) {
            boolean isDone;
            boolean wasRunning;
            synchronized (Lab.RUNS) {
                isDone = Lab.RUNS.stream().filter(run -> run.mTask.startsWith(each.id())
                        && run.mHow.equals("done")).map(run -> run.mTask).distinct().count()
                        == each.workUnits();
                wasRunning = Lab.RUNS.stream().anyMatch(run -> run.mTask.startsWith(each.id())
                        && run.mStartMillis <= to
                        && (run.mEndMillis < 0 || run.mEndMillis >= from));
            }
            Lab.Answer answer = Lab.call("GET", daemons.get(0).mFront, "/q-pool-a/" + each.id(),
                    null, 3_000);
            boolean isIdle = !isDone && !wasRunning;
            Lab.record("GET " + each + " -> " + answer + " workDone=" + isDone
                    + " nothingRanFor3s=" + isIdle);
            unanswered += answer.isOk() ? 0 : 1;
            idle += isIdle ? 1 : 0;
        }
        String text = "accepted=" + accepted.size() + " notDoneAndNothingRunningFor3s=" + idle
                + " stateNotAnswered=" + unanswered + " cpuInUse=" + mostUsed + " of 128000"
                + " storeRefusals=" + store.mRefused;
        if (accepted.isEmpty()) {
            Lab.exit(Lab.EXIT_NOT_RUN, "nothing was accepted " + text);
        }
        boolean isBroken = idle > 0 && mostUsed < 64_000 || unanswered > 0;
        Lab.exit(isBroken ? Lab.EXIT_BROKEN : 0, text);
    }
}
