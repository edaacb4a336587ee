package org.endivetray.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.endivetray.Json;

/**
 * Runs a load test and prints its results as one JSON line.
 *
 * <p>Modes: {@code count} sends a number of requests from concurrent callers; {@code turns} puts
 * each service in turn under peak demand; {@code latency} sends requests at a fixed rate, half of
 * them directly to a minion for comparison.
 *
 * <p>This class is not thread-safe.
 */
final class LoadTestCommand {
    private static final long SEND_INTERVAL_MILLIS = 5;
    private static final double PEAK_RATE_FACTOR = 5;
    private static final double OFF_PEAK_RATE_FACTOR = 0.05;
    private static final long DRAIN_TIMEOUT_SECONDS = 40;

    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final HttpClient mHttp = mVertx.createHttpClient();
    private final Site mSite;
    private final CommandLine mLine;
    private final List<Target> mTargets;
    private final RequestStats mStats = new RequestStats();
    private final LoadGenerator mGenerator;
    private final SplittableRandom mRandom;
    private final double mKeyedShare;
    private double mBusySlotSeconds;
    private double mAvailableSlotSeconds;

    LoadTestCommand(Site site, CommandLine line) {
        mSite = site;
        mLine = line;
        mTargets =
                Arrays.stream(line.getOptionValue("targets", "").split(","))
                        .map(Target::ofText)
                        .toList();
        Set<Integer> faulty = new TreeSet<>();
        for (String index : line.getOptionValue("faulty", "").split(",")) {
            if (!index.isEmpty()) {
                faulty.add(Integer.parseInt(index));
            }
        }
        long seed = longOption("seed", 1);
        mRandom = new SplittableRandom(seed);
        mKeyedShare = doubleOption("keyed", 0.05);
        mGenerator =
                new LoadGenerator(
                        mVertx,
                        site,
                        mTargets,
                        doubleOption("skew", 1),
                        faulty,
                        seed + 1,
                        longOption("deadline", 2_000),
                        longOption("work", 20),
                        mStats);
    }

    private long longOption(String name, long fallback) {
        return Long.parseLong(mLine.getOptionValue(name, Long.toString(fallback)));
    }

    private double doubleOption(String name, double fallback) {
        return Double.parseDouble(mLine.getOptionValue(name, Double.toString(fallback)));
    }

    void run() throws Exception {
        mVertx.runOnContext(ignored -> mGenerator.startReadinessProbes());
        boolean isLatencyMode = mLine.getOptionValue("mode", "count").equals("latency");
        runPhase(() -> isLatencyMode ? runLatency() : runTurn(0, longOption("warm", 0)));
        resetMeasurements();
        long cpuTicksBefore = cpuTicks();
        long innerMessagesBefore = innerMessages();
        runPhase(
                () ->
                        switch (mLine.getOptionValue("mode", "count")) {
                            case "turns" -> runTurns();
                            case "latency" -> runLatency();
                            default -> runCount();
                        });
        print(cpuTicksBefore, innerMessagesBefore);
        System.exit(0);
    }

    /** Runs a load and waits until all its requests have completed, up to a time limit. */
    private void runPhase(Supplier<Future<Void>> load) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        mVertx.runOnContext(
                ignored ->
                        load.get()
                                .compose(done -> awaitOpenRequests())
                                .onComplete(done -> ended.countDown()));
        if (!ended.await(longOption("seconds", 60) + 2 * DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            mStats.increment("didNotEnd");
        }
    }

    // ---- loads

    private Future<Void> runCount() {
        int callerCount = (int) longOption("concurrency", 16);
        long[] remaining = {longOption("requests", 1_000)};
        Promise<Void> ended = Promise.promise();
        int[] activeCallers = {callerCount};
        for (int i = 0; i < callerCount; i++) {
            sendNext(remaining, activeCallers, ended);
        }
        return ended.future();
    }

    private void sendNext(long[] remaining, int[] activeCallers, Promise<Void> ended) {
        if (remaining[0]-- <= 0) {
            if (--activeCallers[0] == 0) {
                ended.complete();
            }
            return;
        }
        String service = mSite.services().get(mRandom.nextInt(mSite.services().size()));
        mGenerator
                .send(service, mRandom.nextDouble() < mKeyedShare)
                .onComplete(ignored -> sendNext(remaining, activeCallers, ended));
    }

    private Future<Void> runTurns() {
        long turnMillis = longOption("turn", 3_000);
        long seconds = longOption("seconds", 30);
        int turns = (int) (seconds * 1_000 / turnMillis);
        Future<Void> load = Future.succeededFuture();
        for (int i = 0; i < turns; i++) {
            int peakService = i % mSite.services().size();
            load = load.compose(ignored -> runTurn(peakService, turnMillis));
        }
        return load;
    }

    /** Discards the measurements of the warm-up, in which the processes are still cold. */
    private void resetMeasurements() {
        mStats.clear();
        mBusySlotSeconds = 0;
        mAvailableSlotSeconds = 0;
    }

    private Future<Void> runTurn(int peakService, long turnMillis) {
        String service = mSite.services().get(peakService);
        Promise<Void> ended = Promise.promise();
        return busySlotSeconds(service)
                .compose(
                        before -> {
                            long startNanos = System.nanoTime();
                            double[] dueRequests = new double[mSite.services().size()];
                            sendDueRequests(
                                    peakService,
                                    startNanos,
                                    startNanos,
                                    turnMillis,
                                    dueRequests,
                                    ended);
                            return ended.future()
                                    .compose(ignored -> busySlotSeconds(service))
                                    .map(
                                            after -> {
                                                double elapsedSeconds =
                                                        (System.nanoTime() - startNanos) / 1e9;
                                                mBusySlotSeconds += after - before;
                                                mAvailableSlotSeconds +=
                                                        elapsedSeconds
                                                                * slotsOfService(peakService);
                                                return null;
                                            });
                        });
    }

    private void sendDueRequests(
            int peakService,
            long startNanos,
            long lastNanos,
            long turnMillis,
            double[] dueRequests,
            Promise<Void> ended) {
        long now = System.nanoTime();
        for (int i = 0; i < dueRequests.length; i++) {
            double rate =
                    doubleOption("rate", 200)
                            * (i == peakService ? PEAK_RATE_FACTOR : OFF_PEAK_RATE_FACTOR);
            dueRequests[i] += rate * (now - lastNanos) / 1e9;
            while (dueRequests[i] >= 1) {
                dueRequests[i] -= 1;
                mGenerator.send(mSite.services().get(i), mRandom.nextDouble() < mKeyedShare);
            }
        }
        if (now - startNanos >= turnMillis * 1_000_000) {
            ended.complete();
            return;
        }
        mVertx.setTimer(
                SEND_INTERVAL_MILLIS,
                ignored ->
                        sendDueRequests(
                                peakService, startNanos, now, turnMillis, dueRequests, ended));
    }

    private Future<Void> runLatency() {
        long seconds = longOption("seconds", 10);
        int[] minionPorts =
                Arrays.stream(mLine.getOptionValue("direct").split(","))
                        .mapToInt(Integer::parseInt)
                        .toArray();
        String service = mSite.services().get(0);
        Promise<Void> ended = Promise.promise();
        long startNanos = System.nanoTime();
        double[] dueRequests = {0};
        long[] lastNanos = {startNanos};
        mVertx.setPeriodic(
                SEND_INTERVAL_MILLIS,
                timer -> {
                    long now = System.nanoTime();
                    dueRequests[0] += doubleOption("rate", 200) * (now - lastNanos[0]) / 1e9;
                    lastNanos[0] = now;
                    while (dueRequests[0] >= 1) {
                        dueRequests[0] -= 1;
                        if (mRandom.nextInt(2) == 0) {
                            mGenerator.sendDirect(
                                    minionPorts[mRandom.nextInt(minionPorts.length)], service);
                        } else {
                            mGenerator.send(service, false);
                        }
                    }
                    if (now - startNanos >= seconds * 1_000_000_000L) {
                        mVertx.cancelTimer(timer);
                        ended.complete();
                    }
                });
        return ended.future();
    }

    private Future<Void> awaitOpenRequests() {
        Promise<Void> completed = Promise.promise();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_TIMEOUT_SECONDS);
        mVertx.setPeriodic(
                50,
                timer -> {
                    if (mGenerator.openRequests() == 0 || System.nanoTime() > deadlineNanos) {
                        mVertx.cancelTimer(timer);
                        completed.complete();
                    }
                });
        return completed.future();
    }

    // ---- measurements

    private int slotsOfService(int serviceIndex) {
        int minions = 0;
        for (int i = 0; i < mSite.hosts().size(); i++) {
            for (String service : mSite.initialServices(i)) {
                minions += service.equals(mSite.services().get(serviceIndex)) ? 1 : 0;
            }
        }
        return minions * MinionStandIn.SLOTS_PER_MINION;
    }

    private Future<Double> busySlotSeconds(String service) {
        return readMinionStats().map(json -> json.path("busySlotSeconds").path(service).asDouble());
    }

    private Future<JsonNode> readMinionStats() {
        String port = mLine.getOptionValue("control");
        if (port == null) {
            return Future.succeededFuture(Json.mapper().createObjectNode());
        }
        return read(Integer.parseInt(port), "/stats")
                .map(
                        text -> {
                            try {
                                return Json.mapper().readTree(text);
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
    }

    private Future<String> read(int port, String uri) {
        return mHttp.request(new RequestOptions().setHost("127.0.0.1").setPort(port).setURI(uri))
                .compose(request -> request.idleTimeout(2_000).send())
                .compose(HttpClientResponse::body)
                .map(Object::toString);
    }

    private long cpuTicks() {
        long ticks = 0;
        for (Target target : mTargets) {
            String[] fields = readProcFile(target, "stat").split(" ");
            if (fields.length > 15) {
                ticks += Long.parseLong(fields[13]) + Long.parseLong(fields[14]);
            }
        }
        return ticks;
    }

    private long maxRssMb() {
        long maxMb = 0;
        for (Target target : mTargets) {
            for (String text : readProcFile(target, "status").split("\n")) {
                if (text.startsWith("VmRSS:")) {
                    long kb = Long.parseLong(text.replaceAll("[^0-9]", ""));
                    maxMb = Math.max(maxMb, kb / 1024);
                }
            }
        }
        return maxMb;
    }

    private static String readProcFile(Target target, String name) {
        try {
            return Files.readString(Path.of("/proc/" + target.pid() + "/" + name));
        } catch (IOException e) {
            return "";
        }
    }

    private long innerMessages() {
        long sum = 0;
        for (Target target : mTargets) {
            try {
                String text =
                        read(target.operatorsPort(), "/metrics")
                                .toCompletionStage()
                                .toCompletableFuture()
                                .get(2, TimeUnit.SECONDS);
                for (String row : text.split("\n")) {
                    if (row.startsWith("endivetray_inner_messages_total")) {
                        sum += (long) Double.parseDouble(row.split(" ")[1]);
                    }
                }
            } catch (Exception e) {
                System.err.println("metrics not read: port=" + target.operatorsPort());
            }
        }
        return sum;
    }

    private void print(long cpuTicksBefore, long innerMessagesBefore) throws Exception {
        ObjectNode json = Json.mapper().createObjectNode();
        json.put("policy", mLine.getOptionValue("label", ""));
        json.put("offered", mStats.count("offered"));
        for (String name :
                List.of("answered", "answeredInTime", "notRun", "unknown", "wrong", "cut")) {
            json.put(name, mStats.count(name));
        }
        json.setAll(mStats.toJson());
        JsonNode stats =
                readMinionStats()
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS);
        json.put("duplicated", stats.path("duplicated").asLong());
        json.put("minionOverLimit", stats.path("overLimit").asLong());
        json.put("minionMaxInFlight", stats.path("maxInFlight").asLong());
        json.put("minionMaxConnections", stats.path("maxConnections").asLong());
        if (mAvailableSlotSeconds > 0) {
            json.put("slotUse", Math.round(mBusySlotSeconds / mAvailableSlotSeconds * 1e3) / 1e3);
        }
        long offered = Math.max(1, mStats.count("offered"));
        long innerDelta = innerMessages() - innerMessagesBefore;
        json.put("innerMessagesPerRequest", Math.round(innerDelta * 1e3 / offered) / 1e3);
        json.put("daemonCpuPerRequestUs", (cpuTicks() - cpuTicksBefore) * 10_000 / offered);
        json.put("daemonRssMb", maxRssMb());
        System.out.println(json);
    }
}
