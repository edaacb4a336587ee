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
 * Changes the budget of a pool repeatedly and measures how long each change takes until it is in
 * force on every daemon, how often a daemon reverts to an older version, and the store calls, bytes
 * and CPU time that the daemons use.
 *
 * <p>This class is not thread-safe.
 */
final class ConfigChangeBenchmark {
    private static final long IDLE_MEASUREMENT_MILLIS = 10_000;
    private static final long CHANGE_TIMEOUT_NANOS = 30_000_000_000L;
    private static final int TICKS_PER_SECOND = 100;

    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Target> mTargets;
    private final int mPlatformPort;
    private final String mPoolName;
    private final Map<Integer, Long> mLatestVersions = new HashMap<>();
    private final Histogram mDelayMillis = new Histogram(60_000, 3);
    private int mReversions;

    ConfigChangeBenchmark(Site site, CommandLine line) {
        mTargets =
                Arrays.stream(line.getOptionValue("targets").split(","))
                        .map(Target::ofText)
                        .toList();
        mPlatformPort = Integer.parseInt(line.getOptionValue("control"));
        mPoolName = site.services().get(0);
    }

    void run(int changes) throws Exception {
        ResourceUsage idleStart = readUsage();
        Thread.sleep(IDLE_MEASUREMENT_MILLIS);
        ResourceUsage idle = readUsage().minus(idleStart);
        ResourceUsage start = readUsage();
        for (int i = 0; i < changes; i++) {
            measureChange(i);
        }
        ResourceUsage used = readUsage().minus(start);
        ObjectNode json = Json.mapper().createObjectNode();
        json.put("changes", changes);
        json.put("p50Seconds", mDelayMillis.getValueAtPercentile(50) / 1e3);
        json.put("maxSeconds", mDelayMillis.getMaxValue() / 1e3);
        json.put("reverted", mReversions);
        double idleCalls = idle.storeCalls() / idle.seconds();
        double calls = used.storeCalls() - idleCalls * used.seconds();
        json.put("storeCallsPerChange", Math.round(calls / changes * 10) / 10.0);
        json.put("idleStoreCallsPerSecond", Math.round(idleCalls * 10) / 10.0);
        int daemons = mTargets.size();
        json.put("controlBytesPerSecond", Math.round(idle.bytes() / idle.seconds() / daemons));
        json.put(
                "controlBytesPerSecondUnderChanges",
                Math.round(used.bytes() / used.seconds() / daemons));
        json.put(
                "controlCpuShare",
                Math.round(idle.cpuSeconds() / idle.seconds() / daemons * 1e4) / 1e4);
        System.out.println(json);
    }

    private void measureChange(int index) throws Exception {
        int floor = 1 + index % 4;
        Target target = mTargets.get(index % mTargets.size());
        JsonNode poolRow = get(target.operatorsPort(), "/v1/pools/" + mPoolName);
        Pool pool = Json.mapper().convertValue(poolRow.path("pool"), Pool.class);
        AvailabilityBudget budget =
                AvailabilityBudget.ofFloor(floor)
                        .withMaxPlannedOutages(pool.budget().maxPlannedOutages());
        Intent intent =
                Intent.ofConfiguration(
                        List.of(pool.withBudget(budget)), List.of(), List.of(), Map.of());
        String planId =
                post(target, "/v1/plans", Json.mapper().valueToTree(intent).toString())
                        .path("id")
                        .asText();
        long startNanos = System.nanoTime();
        post(target, "/v1/plans/" + planId + "/confirm", "");
        long version = poolRow.path("version").asLong();
        while (!isInForce(version, floor)) {
            if (System.nanoTime() - startNanos > CHANGE_TIMEOUT_NANOS) {
                throw new IllegalStateException(
                        "change " + index + " was not in force within 30 s");
            }
            Thread.sleep(5);
        }
        mDelayMillis.recordValue((System.nanoTime() - startNanos) / 1_000_000);
        String planUri = "/v1/plans/" + planId;
        while (!get(target.operatorsPort(), planUri).path("state").asText().equals("DONE")) {
            Thread.sleep(5);
        }
    }

    private boolean isInForce(long previousVersion, int floor) throws Exception {
        boolean allInForce = true;
        for (Target target : mTargets) {
            JsonNode poolRow = get(target.operatorsPort(), "/v1/pools/" + mPoolName);
            long version = poolRow.path("version").asLong();
            mReversions +=
                    version < mLatestVersions.getOrDefault(target.operatorsPort(), 0L) ? 1 : 0;
            mLatestVersions.merge(target.operatorsPort(), version, Math::max);
            int foundFloor = poolRow.path("pool").path("budget").path("floorWorkers").asInt();
            allInForce &= version > previousVersion && foundFloor == floor;
        }
        return allInForce;
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

    private ResourceUsage readUsage() throws Exception {
        JsonNode stats = get(mPlatformPort, "/stats");
        long bytes = 0;
        long ticks = 0;
        for (Target target : mTargets) {
            bytes += get(target.operatorsPort(), "/v1/status").path("innerBytesSent").asLong();
            ticks += cpuTicks(target);
        }
        return new ResourceUsage(
                System.nanoTime() / 1e9,
                stats.path("storeReads").asLong() + stats.path("storeWrites").asLong(),
                bytes,
                (double) ticks / TICKS_PER_SECOND);
    }

    private static long cpuTicks(Target target) throws IOException {
        List<String> fields =
                new ArrayList<>(
                        List.of(
                                Files.readString(Path.of("/proc/" + target.pid() + "/stat"))
                                        .split(" ")));
        return Long.parseLong(fields.get(13)) + Long.parseLong(fields.get(14));
    }

    /** Total resource usage of all daemons up to one time, or between two times. */
    private record ResourceUsage(double seconds, long storeCalls, long bytes, double cpuSeconds) {
        ResourceUsage minus(ResourceUsage earlier) {
            return new ResourceUsage(
                    seconds - earlier.seconds,
                    storeCalls - earlier.storeCalls,
                    bytes - earlier.bytes,
                    cpuSeconds - earlier.cpuSeconds);
        }
    }
}
