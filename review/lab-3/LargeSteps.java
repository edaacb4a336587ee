import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Large submissions of legal size at once, beside ordinary ones. */
final class LargeSteps {
    static final int LARGE = Integer.getInteger("large", 6);
    static final int STEPS = Integer.getInteger("steps", 3_000);

    private record Accepted(String pool, String id, int workUnits, long acceptedMillis) {}

    private static final List<Accepted> ACCEPTED =
            Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] args) {
        Lab.Store store = new Lab.Store();
        List<String> pools = List.of("pool-a", "pool-b");
        Map<String, int[]> needs = new ConcurrentHashMap<>();
        List<Lab.Minion> minions = new ArrayList<>();
        for (String pool : pools) {
            for (int i = 0; i < 3; i++) {
                minions.add(new Lab.Minion(store, "i-" + pool + i, pool, 32_000, 65_536, 0, needs));
            }
        }
        int cloud = Lab.serveMachines(minions);
        store.put("op/config", Lab.manifest(pools));
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
        long start = Lab.now();
        int number = 0;
        boolean isSent = false;
        while (Lab.now() - start < 30_000) {
            if (!isSent && Lab.now() - start >= 8_000) {
                isSent = true;
                sendLarge(daemons, needs);
            }
            String pool = pools.get(number % 2);
            String id = String.format("%016x", 0xabc0000000000000L + number);
            needs.put(id + ".0", new int[] {1_000, 512});
            Lab.Answer answer = Lab.call("POST", daemons.get(number % 3).mFront,
                    "/q-" + pool + "/" + id,
                    "{\"spec\":\"work=300\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":512,"
                            + "\"estimate_ms\":300}]}", 3_000);
            Lab.record("POST ordinary " + pool + " " + id + " -> " + answer);
            if (answer.isOk()) {
                ACCEPTED.add(new Accepted(pool, id, 2, Lab.now()));
            }
            number++;
            Lab.sleep(400);
        }
        Lab.record("end of the traffic");
        Lab.sleep(14_000);
        // The check of LOST: known and answered in time, and no 3 s with nothing running while
        // there is room and under half of the pool is in use.
        long from = Lab.now();
        int mostUsed = 0;
        while (Lab.now() - from < 3_000) {
            mostUsed = Math.max(mostUsed, usedCpu(minions, needs));
            Lab.sleep(50);
        }
        long to = Lab.now();
        int idle = 0;
        int unanswered = 0;
        List<Accepted> accepted = List.copyOf(ACCEPTED);
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
            Lab.Answer answer = Lab.call("GET", daemons.get(0).mFront,
                    "/q-" + each.pool() + "/" + each.id(), null, 3_000);
            boolean isIdle = !isDone && !wasRunning;
            Lab.record("GET " + each + " -> " + answer + " workDone=" + isDone
                    + " nothingRanFor3s=" + isIdle);
            unanswered += answer.isOk() ? 0 : 1;
            idle += isIdle ? 1 : 0;
        }
        String text = "accepted=" + accepted.size() + " notDoneAndNothingRunningFor3s=" + idle
                + " stateNotAnswered=" + unanswered + " cpuInUse=" + mostUsed + " of 96000"
                + " storeRefusals=" + store.mRefused;
        if (accepted.isEmpty()) {
            Lab.exit(Lab.EXIT_NOT_RUN, "nothing was accepted " + text);
        }
        boolean isBroken = idle > 0 && mostUsed < 48_000 || unanswered > 0;
        Lab.exit(isBroken ? Lab.EXIT_BROKEN : 0, text);
    }

    /** Returns the most CPU that is in use in one pool now. */
    private static int usedCpu(List<Lab.Minion> minions, Map<String, int[]> needs) {
        Map<String, Integer> used = new HashMap<>();
        Map<String, String> poolOf = new HashMap<>();
        minions.forEach(minion -> poolOf.put(minion.mId, minion.mPool));
        synchronized (Lab.RUNS) {
            for (Lab.Run run : Lab.RUNS) {
                if (run.mEndMillis < 0) {
                    used.merge(poolOf.get(run.mMinion),
                            needs.get(Lab.Minion.stepOf(run.mTask))[0], Integer::sum);
                }
            }
        }
        return used.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private static void sendLarge(List<Lab.Daemon> daemons, Map<String, int[]> needs) {
        for (int i = 0; i < LARGE; i++) {
            String id = String.format("%016x", 0xdef0000000000000L + i);
            StringBuilder steps = new StringBuilder();
            if (Lab.TROUBLE) {
                for (int step = 0; step < STEPS; step++) {
                    steps.append(step == 0 ? "" : ",").append("{\"count\":1,\"cpu\":1}");
                    needs.put(id + "." + step, new int[] {1, 0});
                }
            } else {
                steps.append("{\"count\":" + STEPS + ",\"cpu\":1}");
                needs.put(id + ".0", new int[] {1, 0});
            }
            String body = "{\"spec\":\"work=2000\",\"steps\":[" + steps + "]}";
            Lab.Daemon daemon = daemons.get(i % 3);
            Lab.spawn(() -> {
                Lab.Answer answer =
                        Lab.call("POST", daemon.mFront, "/q-pool-a/" + id, body, 3_000);
                Lab.record("POST large " + id + " bytes " + body.length() + " -> " + answer);
                if (answer.isOk()) {
                    ACCEPTED.add(new Accepted("pool-a", id, STEPS, Lab.now()));
                }
            });
        }
    }
}
