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
 * Runs the callers with a given load and prints one JSON line of what became of the requests.
 *
 * <p>Modes: {@code count} sends a number of requests from concurrent callers; {@code turns} lets
 * the services take turns at peak demand; {@code latency} sends half of what the minions can run
 * and compares with requests sent straight to a minion.
 *
 * <p>This class is not thread-safe.
 */
final class LoadTestCommand {
    private static final long STEP_MILLIS = 5;
    private static final double PEAK = 5;
    private static final double REST = 0.05;
    private static final long SETTLE_SECONDS = 40;

    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final HttpClient mControl = mVertx.createHttpClient();
    private final Site mSite;
    private final CommandLine mLine;
    private final List<Target> mTargets;
    private final RequestStats mTally = new RequestStats();
    private final LoadGenerator mCallers;
    private final SplittableRandom mRandom;
    private final double mKeyed;
    private double mBusySeconds;
    private double mAvailableSeconds;

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
        long seed = number("seed", 1);
        mRandom = new SplittableRandom(seed);
        mKeyed = real("keyed", 0.05);
        mCallers =
                new LoadGenerator(
                        mVertx,
                        site,
                        mTargets,
                        real("skew", 1),
                        faulty,
                        seed + 1,
                        number("deadline", 2_000),
                        number("work", 20),
                        mTally);
    }

    private long number(String name, long fallback) {
        return Long.parseLong(mLine.getOptionValue(name, Long.toString(fallback)));
    }

    private double real(String name, double fallback) {
        return Double.parseDouble(mLine.getOptionValue(name, Double.toString(fallback)));
    }

    void run() throws Exception {
        mVertx.runOnContext(ignored -> mCallers.startReadinessProbes());
        boolean isLatency = mLine.getOptionValue("mode", "count").equals("latency");
        runPhase(() -> isLatency ? latency() : turn(0, number("warm", 0)));
        forget();
        long cpuBefore = cpuTicks();
        long innerBefore = innerMessages();
        runPhase(
                () ->
                        switch (mLine.getOptionValue("mode", "count")) {
                            case "turns" -> turns();
                            case "latency" -> latency();
                            default -> count();
                        });
        print(cpuBefore, innerBefore);
        System.exit(0);
    }

    /** Runs a load and waits until all its requests have ended. */
    private void runPhase(Supplier<Future<Void>> load) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        mVertx.runOnContext(
                ignored ->
                        load.get().compose(done -> settle()).onComplete(done -> ended.countDown()));
        if (!ended.await(number("seconds", 60) + 2 * SETTLE_SECONDS, TimeUnit.SECONDS)) {
            mTally.increment("didNotEnd");
        }
    }

    // ---- loads

    private Future<Void> count() {
        int callers = (int) number("concurrency", 16);
        long[] left = {number("requests", 1_000)};
        Promise<Void> ended = Promise.promise();
        int[] running = {callers};
        for (int i = 0; i < callers; i++) {
            next(left, running, ended);
        }
        return ended.future();
    }

    private void next(long[] left, int[] running, Promise<Void> ended) {
        if (left[0]-- <= 0) {
            if (--running[0] == 0) {
                ended.complete();
            }
            return;
        }
        String service = mSite.services().get(mRandom.nextInt(mSite.services().size()));
        mCallers.send(service, mRandom.nextDouble() < mKeyed)
                .onComplete(ignored -> next(left, running, ended));
    }

    private Future<Void> turns() {
        long turnMillis = number("turn", 3_000);
        long seconds = number("seconds", 30);
        int turns = (int) (seconds * 1_000 / turnMillis);
        Future<Void> load = Future.succeededFuture();
        for (int i = 0; i < turns; i++) {
            int peak = i % mSite.services().size();
            load = load.compose(ignored -> turn(peak, turnMillis));
        }
        return load;
    }

    /** Leaves the turn on cold processes out of the readings. */
    private void forget() {
        mTally.clear();
        mBusySeconds = 0;
        mAvailableSeconds = 0;
    }

    private Future<Void> turn(int peak, long turnMillis) {
        String service = mSite.services().get(peak);
        Promise<Void> ended = Promise.promise();
        return busySeconds(service)
                .compose(
                        before -> {
                            long began = System.nanoTime();
                            double[] owed = new double[mSite.services().size()];
                            step(peak, began, began, turnMillis, owed, ended);
                            return ended.future()
                                    .compose(ignored -> busySeconds(service))
                                    .map(
                                            after -> {
                                                double took = (System.nanoTime() - began) / 1e9;
                                                mBusySeconds += after - before;
                                                mAvailableSeconds += took * slots(peak);
                                                return null;
                                            });
                        });
    }

    private void step(
            int peak, long began, long last, long turnMillis, double[] owed, Promise<Void> ended) {
        long now = System.nanoTime();
        for (int i = 0; i < owed.length; i++) {
            double rate = real("rate", 200) * (i == peak ? PEAK : REST);
            owed[i] += rate * (now - last) / 1e9;
            while (owed[i] >= 1) {
                owed[i] -= 1;
                mCallers.send(mSite.services().get(i), mRandom.nextDouble() < mKeyed);
            }
        }
        if (now - began >= turnMillis * 1_000_000) {
            ended.complete();
            return;
        }
        mVertx.setTimer(STEP_MILLIS, ignored -> step(peak, began, now, turnMillis, owed, ended));
    }

    private Future<Void> latency() {
        long seconds = number("seconds", 10);
        int[] direct =
                Arrays.stream(mLine.getOptionValue("direct").split(","))
                        .mapToInt(Integer::parseInt)
                        .toArray();
        String service = mSite.services().get(0);
        Promise<Void> ended = Promise.promise();
        long began = System.nanoTime();
        double[] owed = {0};
        long[] last = {began};
        mVertx.setPeriodic(
                STEP_MILLIS,
                timer -> {
                    long now = System.nanoTime();
                    owed[0] += real("rate", 200) * (now - last[0]) / 1e9;
                    last[0] = now;
                    while (owed[0] >= 1) {
                        owed[0] -= 1;
                        if (mRandom.nextInt(2) == 0) {
                            mCallers.sendDirect(direct[mRandom.nextInt(direct.length)], service);
                        } else {
                            mCallers.send(service, false);
                        }
                    }
                    if (now - began >= seconds * 1_000_000_000L) {
                        mVertx.cancelTimer(timer);
                        ended.complete();
                    }
                });
        return ended.future();
    }

    private Future<Void> settle() {
        Promise<Void> settled = Promise.promise();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS);
        mVertx.setPeriodic(
                50,
                timer -> {
                    if (mCallers.openRequests() == 0 || System.nanoTime() > until) {
                        mVertx.cancelTimer(timer);
                        settled.complete();
                    }
                });
        return settled.future();
    }

    // ---- readings

    private int slots(int peak) {
        int minions = 0;
        for (int i = 0; i < mSite.hosts().size(); i++) {
            for (String service : mSite.initialServices(i)) {
                minions += service.equals(mSite.services().get(peak)) ? 1 : 0;
            }
        }
        return minions * MinionStandIn.SLOTS_PER_MINION;
    }

    private Future<Double> busySeconds(String service) {
        return stats().map(json -> json.path("busySlotSeconds").path(service).asDouble());
    }

    private Future<JsonNode> stats() {
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
        return mControl.request(new RequestOptions().setHost("127.0.0.1").setPort(port).setURI(uri))
                .compose(request -> request.idleTimeout(2_000).send())
                .compose(HttpClientResponse::body)
                .map(Object::toString);
    }

    private long cpuTicks() {
        long ticks = 0;
        for (Target target : mTargets) {
            String[] fields = procFile(target, "stat").split(" ");
            if (fields.length > 15) {
                ticks += Long.parseLong(fields[13]) + Long.parseLong(fields[14]);
            }
        }
        return ticks;
    }

    private long rssMb() {
        long largest = 0;
        for (Target target : mTargets) {
            for (String text : procFile(target, "status").split("\n")) {
                if (text.startsWith("VmRSS:")) {
                    long kb = Long.parseLong(text.replaceAll("[^0-9]", ""));
                    largest = Math.max(largest, kb / 1024);
                }
            }
        }
        return largest;
    }

    private static String procFile(Target target, String name) {
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

    private void print(long cpuBefore, long innerBefore) throws Exception {
        ObjectNode json = Json.mapper().createObjectNode();
        json.put("policy", mLine.getOptionValue("label", ""));
        json.put("offered", mTally.count("offered"));
        for (String name :
                List.of("answered", "answeredInTime", "notRun", "unknown", "wrong", "cut")) {
            json.put(name, mTally.count(name));
        }
        json.setAll(mTally.toJson());
        JsonNode stats = stats().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        json.put("duplicated", stats.path("duplicated").asLong());
        json.put("minionOverLimit", stats.path("overLimit").asLong());
        json.put("minionMaxInFlight", stats.path("maxInFlight").asLong());
        json.put("minionMaxConnections", stats.path("maxConnections").asLong());
        if (mAvailableSeconds > 0) {
            json.put("slotUse", Math.round(mBusySeconds / mAvailableSeconds * 1e3) / 1e3);
        }
        long offered = Math.max(1, mTally.count("offered"));
        long inner = innerMessages() - innerBefore;
        json.put("innerMessagesPerRequest", Math.round(inner * 1e3 / offered) / 1e3);
        json.put("daemonCpuPerRequestUs", (cpuTicks() - cpuBefore) * 10_000 / offered);
        json.put("daemonRssMb", rssMb());
        System.out.println(json);
    }
}
