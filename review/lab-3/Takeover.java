import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Many timed submissions in several pools; then all machines but one are lost. */
final class Takeover {
    static final int POOLS = Integer.getInteger("pools", 6);
    static final int DAEMONS = Integer.getInteger("daemons", 8);
    static final int JOBS = Integer.getInteger("jobs", 5_500);
    static final int SPEC_BYTES = Integer.getInteger("spec", 4_000);
    static final int STEPS = Integer.getInteger("steps", 5);
    static final int CLIENTS = 48;

    private record Accepted(String pool, String id) {}

    public static void main(String[] args) throws Exception {
        Lab.Store store = new Lab.Store();
        List<String> pools = new ArrayList<>();
        Map<String, int[]> needs = new ConcurrentHashMap<>();
        List<Lab.Minion> minions = new ArrayList<>();
        for (int i = 0; i < POOLS; i++) {
            String pool = "pool-" + (char) ('a' + i);
            pools.add(pool);
            for (int j = 0; j < 2; j++) {
                minions.add(new Lab.Minion(store, "i-" + pool + j, pool, 32_000, 65_536, 0, needs));
            }
        }
        int cloud = Lab.serveMachines(minions);
        store.put("op/config", Lab.manifest(pools));
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= DAEMONS; i++) {
            daemons.add(new Lab.Daemon("edge-" + i, store.mPort, cloud));
        }
        daemons.forEach(Lab.Daemon::start);
        for (Lab.Daemon daemon : daemons) {
            if (!daemon.awaitReady(20_000)) {
                Lab.exit(Lab.EXIT_NOT_RUN, "a daemon did not become ready");
            }
        }
        // Longer than a daemon with too many shards keeps them before it releases one.
        Lab.sleep(9_000);
        pools.forEach(pool -> Lab.record("owner of " + pool + " is " + store.owner(pool)));

        // Timed submissions, due in an hour, with a spec of the largest size that the pages allow.
        String spec = "work=300 " + "x".repeat(SPEC_BYTES - 9);
        long due = System.currentTimeMillis() + 3_600_000;
        StringBuilder steps = new StringBuilder();
        for (int step = 0; step < STEPS; step++) {
            steps.append(step == 0 ? "" : ",").append("{\"count\":4,\"cpu\":1000,\"mem_mb\":512,")
                    .append("\"estimate_ms\":300")
                    .append(step == 0 ? "}" : ",\"after\":[" + (step - 1) + "]}");
        }
        String body = "{\"spec\":\"" + spec + "\",\"steps\":[" + steps + "],\"repetitions\":2,"
                + "\"first_ms\":" + due + ",\"interval_ms\":60000}";
        Map<String, Accepted> accepted = new ConcurrentHashMap<>();
        Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
        AtomicInteger next = new AtomicInteger();
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        long from = Lab.now();
        for (int i = 0; i < CLIENTS; i++) {
            clients.execute(() -> {
                int number = next.getAndIncrement();
                while (number < JOBS * POOLS && Lab.now() - from < 60_000) {
                    String pool = pools.get(number % POOLS);
                    String id = String.format("%016x", 0xabc0000000000000L + number);
                    Lab.Answer answer = Lab.call("POST", daemons.get(number % DAEMONS).mFront,
                            "/q-" + pool + "/" + id, body, 3_000);
                    answers.computeIfAbsent(answer.status(), s -> new AtomicInteger())
                            .incrementAndGet();
                    if (answer.isOk()) {
                        accepted.put(id, new Accepted(pool, id));
                    }
                    number = next.getAndIncrement();
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(70, TimeUnit.SECONDS);
        Lab.record("sent " + next.get() + " answers by status " + answers + " accepted "
                + accepted.size() + " in " + (Lab.now() - from) + " ms");
        Lab.sleep(1_000);

        Lab.Daemon survivor = daemons.get(0);
        if (Lab.TROUBLE) {
            daemons.subList(1, DAEMONS).forEach(Lab.Daemon::kill);
        }
        // Ordinary submissions until well after recovery_s (12 s); then finish_s (14 s) pass.
        long end = Lab.now() + 16_000;
        int number = 0;
        while (Lab.now() < end) {
            String pool = pools.get(number % POOLS);
            String id = String.format("%016x", 0xeee0000000000000L + number);
            needs.put(id + ".0", new int[] {1_000, 512});
            Lab.Answer answer = Lab.call("POST", survivor.mFront, "/q-" + pool + "/" + id,
                    "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":512,"
                            + "\"estimate_ms\":300}]}", 3_000);
            Lab.record("POST ordinary " + pool + " " + id + " -> " + answer);
            if (answer.isOk()) {
                accepted.put(id, new Accepted(pool, id));
            }
            number++;
            Lab.sleep(500);
        }
        Lab.record("end of the traffic");
        Lab.sleep(14_000);
        int unanswered = 0;
        int wrong = 0;
        int asked = 0;
        int notRun = 0;
        List<Accepted> sample = new ArrayList<>(accepted.values());
        Collections.shuffle(sample, new Random(12));
        long askUntil = Lab.now() + 10_000;
        for (Accepted each : sample) {
            boolean isOrdinary = each.id().startsWith("eee");
            if (!isOrdinary && (asked >= 30 || Lab.now() > askUntil)) {
                continue;
            }
            Lab.Answer answer = Lab.call("GET", survivor.mFront,
                    "/q-" + each.pool() + "/" + each.id(), null, 3_000);
            boolean hasRun;
            synchronized (Lab.RUNS) {
                hasRun = Lab.RUNS.stream().anyMatch(run -> run.mTask.startsWith(each.id()));
            }
            asked++;
            unanswered += answer.isOk() || answer.status() == 410 ? 0 : 1;
            wrong += answer.status() == 410 ? 1 : 0;
            notRun += isOrdinary && !hasRun ? 1 : 0;
            Lab.record("GET " + each + " -> " + answer + (isOrdinary ? " hasRun=" + hasRun : ""));
        }
        String text = "accepted=" + accepted.size() + " asked=" + asked + " notAnswered="
                + unanswered + " answered410=" + wrong + " ordinaryNeverRun=" + notRun
                + " endsByItself=" + daemons.stream().mapToInt(daemon -> daemon.mOwnEnds).sum()
                + " storeRefusals=" + store.mRefused;
        if (accepted.size() < JOBS * POOLS / 2) {
            Lab.exit(Lab.EXIT_NOT_RUN, "too few submissions were accepted " + text);
        }
        int ownEnds = daemons.stream().mapToInt(daemon -> daemon.mOwnEnds).sum();
        boolean isBroken = unanswered > 0 || wrong > 0 || notRun > 0 || ownEnds > 0;
        Lab.exit(isBroken ? Lab.EXIT_BROKEN : 0, text);
    }
}
