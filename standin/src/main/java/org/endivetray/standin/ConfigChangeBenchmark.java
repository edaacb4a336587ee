package org.endivetray.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.endivetray.AvailabilityBudget;
import org.endivetray.Intent;
import org.endivetray.Json;
import org.endivetray.Pool;

/**
 * Changes a budget again and again and measures how long each change takes to be in force on every
 * daemon, whether any daemon goes back, and what control costs.
 *
 * <p>This class is not thread-safe.
 */
final class ConfigChangeBenchmark {
    private static final long IDLE_MILLIS = 10_000;
    private static final long MAX_NANOS = 30_000_000_000L;
    private static final int TICKS_PER_SECOND = 100;

    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Target> mTargets;
    private final int mPlatform;
    private final String mPool;
    private final Map<Integer, Long> mVersions = new HashMap<>();
    private final Histogram mMillis = new Histogram(60_000, 3);
    private int mReverted;

    ConfigChangeBenchmark(Site site, CommandLine line) {
        mTargets =
                Arrays.stream(line.getOptionValue("targets").split(","))
                        .map(Target::ofText)
                        .toList();
        mPlatform = Integer.parseInt(line.getOptionValue("control"));
        mPool = site.services().get(0);
    }

    void run(int changes) throws Exception {
        Reading idleBegan = read();
        Thread.sleep(IDLE_MILLIS);
        Reading idle = read().minus(idleBegan);
        Reading began = read();
        for (int i = 0; i < changes; i++) {
            change(i);
        }
        Reading spent = read().minus(began);
        ObjectNode json = Json.mapper().createObjectNode();
        json.put("changes", changes);
        json.put("p50Seconds", mMillis.getValueAtPercentile(50) / 1e3);
        json.put("maxSeconds", mMillis.getMaxValue() / 1e3);
        json.put("reverted", mReverted);
        double idleCalls = idle.storeCalls() / idle.seconds();
        double calls = spent.storeCalls() - idleCalls * spent.seconds();
        json.put("storeCallsPerChange", Math.round(calls / changes * 10) / 10.0);
        json.put("idleStoreCallsPerSecond", Math.round(idleCalls * 10) / 10.0);
        int daemons = mTargets.size();
        json.put("controlBytesPerSecond", Math.round(idle.bytes() / idle.seconds() / daemons));
        json.put(
                "controlBytesPerSecondUnderChanges",
                Math.round(spent.bytes() / spent.seconds() / daemons));
        json.put(
                "controlCpuShare",
                Math.round(idle.cpuSeconds() / idle.seconds() / daemons * 1e4) / 1e4);
        System.out.println(json);
    }

    private void change(int index) throws Exception {
        int floor = 1 + index % 4;
        Target target = mTargets.get(index % mTargets.size());
        JsonNode row = get(target.operatorsPort(), "/v1/pools/" + mPool);
        Pool pool = Json.mapper().convertValue(row.path("pool"), Pool.class);
        AvailabilityBudget budget =
                AvailabilityBudget.ofFloor(floor)
                        .withMaxPlannedOutages(pool.budget().maxPlannedOutages());
        Intent intent =
                Intent.ofConfiguration(
                        List.of(pool.withBudget(budget)), List.of(), List.of(), Map.of());
        String id =
                post(target, "/v1/plans", Json.mapper().valueToTree(intent).toString())
                        .path("id")
                        .asText();
        long began = System.nanoTime();
        post(target, "/v1/plans/" + id + "/confirm", "");
        long version = row.path("version").asLong();
        while (!inForce(version, floor)) {
            if (System.nanoTime() - began > MAX_NANOS) {
                throw new IllegalStateException("change " + index + " is not in force in 30 s");
            }
            Thread.sleep(5);
        }
        mMillis.recordValue((System.nanoTime() - began) / 1_000_000);
        String plan = "/v1/plans/" + id;
        while (!get(target.operatorsPort(), plan).path("state").asText().equals("DONE")) {
            Thread.sleep(5);
        }
    }

    private boolean inForce(long before, int floor) throws Exception {
        boolean all = true;
        for (Target target : mTargets) {
            JsonNode row = get(target.operatorsPort(), "/v1/pools/" + mPool);
            long version = row.path("version").asLong();
            mReverted += version < mVersions.getOrDefault(target.operatorsPort(), 0L) ? 1 : 0;
            mVersions.merge(target.operatorsPort(), version, Math::max);
            int found = row.path("pool").path("budget").path("floorWorkers").asInt();
            all &= version > before && found == floor;
        }
        return all;
    }

    private JsonNode get(int port, String uri) throws Exception {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + uri)).build());
    }

    private JsonNode post(Target target, String uri, String body) throws Exception {
        return send(
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + target.operatorsPort() + uri))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    private JsonNode send(HttpRequest request) throws Exception {
        HttpResponse<String> response = mHttp.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() >= 400) {
            throw new IllegalStateException(request.uri() + ": " + response.body());
        }
        return Json.mapper().readTree(response.body());
    }

    private Reading read() throws Exception {
        JsonNode stats = get(mPlatform, "/stats");
        long bytes = 0;
        long ticks = 0;
        for (Target target : mTargets) {
            bytes += get(target.operatorsPort(), "/v1/status").path("innerBytesSent").asLong();
            ticks += ticks(target);
        }
        return new Reading(
                System.nanoTime() / 1e9,
                stats.path("storeReads").asLong() + stats.path("storeWrites").asLong(),
                bytes,
                (double) ticks / TICKS_PER_SECOND);
    }

    private static long ticks(Target target) throws IOException {
        List<String> fields =
                new ArrayList<>(
                        List.of(
                                Files.readString(Path.of("/proc/" + target.pid() + "/stat"))
                                        .split(" ")));
        return Long.parseLong(fields.get(13)) + Long.parseLong(fields.get(14));
    }

    /** Readings of all daemons together at one time, or between two times. */
    private record Reading(double seconds, long storeCalls, long bytes, double cpuSeconds) {
        Reading minus(Reading earlier) {
            return new Reading(
                    seconds - earlier.seconds,
                    storeCalls - earlier.storeCalls,
                    bytes - earlier.bytes,
                    cpuSeconds - earlier.cpuSeconds);
        }
    }
}
