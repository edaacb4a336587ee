package org.endivetray.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.endivetray.AvailabilityBudget;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.Json;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.Member;
import org.endivetray.OutageLedger;
import org.endivetray.Plan;
import org.endivetray.Pool;
import org.endivetray.daemon.state.HostShard;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.OutageSelector;
import org.endivetray.policy.PlanDraft;
import org.endivetray.policy.PlanProgress;
import org.endivetray.policy.Planner;
import org.endivetray.policy.SlotAllocator;

/**
 * Measures how control costs grow with the fleet, and fits a line to each measurement.
 *
 * <p>A time is the mean of several runs after a warm-up. The residual is the largest distance of a
 * measured value from the line, as a share of the largest value.
 *
 * <p>This class is not thread-safe.
 */
final class ScalingBenchmark {
    private static final int[] WORKERS = {1_000, 3_000, 6_000, 11_000};
    private static final int[] POOLS = {10, 25, 53, 106};
    private static final int[] DAEMONS = {2, 4, 8, 16};
    private static final int[] CHANGES = {10, 30, 100};
    private static final int WARM_UP_RUNS = 5;
    private static final int RUNS = 10;
    private static final int SHARDS = 64;

    private ScalingBenchmark() {}

    static void run() {
        measureTime("state: read all, by workers", WORKERS, n -> () -> snapshot(n, 53));
        measureTime(
                "state: take in one change, by workers", WORKERS, ScalingBenchmark::applyOneChange);
        measureTime(
                "state: take in one change, by pools",
                POOLS,
                ScalingBenchmark::applyOneChangeByPools);
        measureTime(
                "state: take in changes at once, by changes",
                CHANGES,
                ScalingBenchmark::applyChanges);
        measureTime(
                "hosts: take in the list, by workers", WORKERS, ScalingBenchmark::applyHostList);
        measureTime("plan: wave over all, by workers", WORKERS, ScalingBenchmark::planWave);
        measureTime("plan: one pass of a wave, by workers", WORKERS, ScalingBenchmark::runWavePass);
        measureTime("slots: one report, by daemons", DAEMONS, ScalingBenchmark::reportSlots);
        measureSize("bytes: stored state, by workers", WORKERS, ScalingBenchmark::storedBytes);
        measureSize("bytes: host list, by workers", WORKERS, ScalingBenchmark::listBytes);
        measureSize("bytes: wave plan, by workers", WORKERS, ScalingBenchmark::planBytes);
        measureSize("heap: state in memory, by workers", WORKERS, ScalingBenchmark::heapBytes);
    }

    private static void measureTime(String name, int[] sizes, IntFunction<Runnable> operations) {
        double[] micros = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            Runnable operation = operations.apply(sizes[i]);
            for (int warm = 0; warm < WARM_UP_RUNS; warm++) {
                operation.run();
            }
            long startNanos = System.nanoTime();
            for (int counted = 0; counted < RUNS; counted++) {
                operation.run();
            }
            micros[i] = (System.nanoTime() - startNanos) / 1e3 / RUNS;
        }
        print(name, "us", sizes, micros);
    }

    private static void measureSize(String name, int[] sizes, IntFunction<Double> measurement) {
        double[] measurements = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            measurements[i] = measurement.apply(sizes[i]);
        }
        print(name, "bytes", sizes, measurements);
    }

    /** Prints the measured values, the least-squares line through them, and the residual. */
    private static void print(String name, String unit, int[] sizes, double[] measurements) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < sizes.length; i++) {
            meanX += (double) sizes[i] / sizes.length;
            meanY += measurements[i] / sizes.length;
        }
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.length; i++) {
            covariance += (sizes[i] - meanX) * (measurements[i] - meanY);
            variance += (sizes[i] - meanX) * (sizes[i] - meanX);
        }
        double slope = covariance / variance;
        double residual = 0;
        double largest = 0;
        ObjectNode json = Json.mapper().createObjectNode();
        json.put("name", name);
        json.put("unit", unit);
        ObjectNode row = json.putObject("readings");
        for (int i = 0; i < sizes.length; i++) {
            double fit = meanY + slope * (sizes[i] - meanX);
            residual = Math.max(residual, Math.abs(measurements[i] - fit));
            largest = Math.max(largest, measurements[i]);
            row.put(Integer.toString(sizes[i]), Math.round(measurements[i] * 10) / 10.0);
        }
        json.put("slope", Math.round(slope * 1e4) / 1e4);
        json.put("intercept", Math.round((meanY - slope * meanX) * 10) / 10.0);
        json.put("residualShare", Math.round(residual / largest * 1e3) / 1e3);
        System.out.println(json);
    }

    // ---- test data

    private static List<VersionedValue> values(int workers, int pools) {
        List<VersionedValue> values = new ArrayList<>();
        AvailabilityBudget budget =
                AvailabilityBudget.ofFloor(workers / pools * 85 / 100)
                        .withMaxPlannedOutages(Math.max(1, workers / pools / 10));
        for (int i = 0; i < pools; i++) {
            Pool pool = new Pool("pool" + i, i == 0, budget, List.of());
            values.add(value(StateKeys.POOL + pool.name(), pool));
            values.add(value(StateKeys.LEDGER + pool.name(), OutageLedger.ofPool(pool.name())));
        }
        for (int i = 0; i < 330; i++) {
            values.add(value(StateKeys.MEMBER + "team" + i, new Member("team" + i, 1)));
        }
        Map<String, HostShard> shards = new HashMap<>();
        for (int i = 0; i < workers; i++) {
            String worker = String.format("w%05d", i);
            shards.merge(
                    StateKeys.hostShard(worker, SHARDS),
                    new HostShard(Map.of(worker, HostRecord.ofActive(worker, "pool" + i % pools))),
                    ScalingBenchmark::join);
        }
        shards.forEach((key, shard) -> values.add(value(key, shard)));
        return values;
    }

    private static HostShard join(HostShard one, HostShard other) {
        Map<String, HostRecord> hosts = new HashMap<>(one.hosts());
        hosts.putAll(other.hosts());
        return new HostShard(hosts);
    }

    private static VersionedValue value(String key, Object value) {
        return new VersionedValue(key, 1, RecordCodec.encode(value));
    }

    private static List<ListedHost> hosts(int workers) {
        List<ListedHost> hosts = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            hosts.add(
                    new ListedHost(
                            String.format("w%05d", i),
                            "r" + i / 32,
                            "z" + i * 6 / workers,
                            32,
                            65_536,
                            2,
                            ListedStatus.LIVE,
                            List.of()));
        }
        return hosts;
    }

    private static Snapshot snapshot(int workers, int pools) {
        return Snapshot.EMPTY.withValues(values(workers, pools), 1).withHostList(hosts(workers));
    }

    // ---- measured operations

    private static Runnable applyOneChange(int workers) {
        Snapshot snapshot = snapshot(workers, 53);
        return () -> snapshot.withValues(List.of(changedMember(0, 2)), 2);
    }

    private static Runnable applyOneChangeByPools(int pools) {
        Snapshot snapshot = snapshot(3_000, pools);
        return () -> snapshot.withValues(List.of(changedMember(0, 2)), 2);
    }

    private static Runnable applyChanges(int count) {
        Snapshot snapshot = snapshot(11_000, 53);
        List<VersionedValue> values = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            values.add(changedMember(i, 2 + i));
        }
        return () -> snapshot.withValues(values, 2 + count);
    }

    private static VersionedValue changedMember(int member, long version) {
        Member value = new Member("team" + member, 2);
        return new VersionedValue(
                StateKeys.MEMBER + value.name(), version, RecordCodec.encode(value));
    }

    private static Runnable applyHostList(int workers) {
        Snapshot snapshot = snapshot(workers, 53);
        List<ListedHost> hosts = hosts(workers);
        List<ListedHost> others = hosts(workers - 1);
        boolean[] useOthers = {false};
        return () -> snapshot.withHostList((useOthers[0] = !useOthers[0]) ? others : hosts);
    }

    private static Runnable planWave(int workers) {
        Snapshot snapshot = snapshot(workers, 53);
        return () -> Planner.plan(snapshot.fleet(), Intent.of(IntentKind.WAVE, "all"));
    }

    private static Runnable runWavePass(int workers) {
        Snapshot snapshot = snapshot(workers, 53);
        Plan plan = wave(snapshot);
        return () ->
                OutageSelector.select(
                        PlanProgress.derive(plan, snapshot.fleet()), snapshot.fleet());
    }

    private static Plan wave(Snapshot snapshot) {
        Intent intent = Intent.of(IntentKind.WAVE, "all");
        PlanDraft draft = Planner.plan(snapshot.fleet(), intent);
        return Plan.ofProposal("p-1", "bench", intent, "", draft.steps(), draft.estimate());
    }

    private static Runnable reportSlots(int daemons) {
        List<String> names = new ArrayList<>();
        Map<String, Integer> capacity = new HashMap<>();
        for (int i = 0; i < daemons; i++) {
            names.add("d" + i);
        }
        for (int i = 0; i < 9; i++) {
            capacity.put("m" + i, 8);
        }
        SlotAllocator allocator = new SlotAllocator(Long.MAX_VALUE, names, 1);
        allocator.setCapacity(capacity);
        long[] sequence = {0};
        return () -> {
            for (int i = 0; i < 100; i++) {
                sequence[0]++;
                String daemon = names.get(i % daemons);
                Map<String, SlotAllocator.SlotUsage> usages = new HashMap<>();
                allocator
                        .limitsOf(daemon)
                        .forEach(
                                (minion, limit) ->
                                        usages.put(
                                                minion, new SlotAllocator.SlotUsage(limit, limit)));
                allocator.onReport(
                        daemon,
                        i % 7,
                        usages,
                        sequence[0],
                        allocator.grantSeqOf(daemon),
                        sequence[0]);
            }
        };
    }

    // ---- measured sizes

    private static double storedBytes(int workers) {
        return values(workers, 53).stream().mapToInt(value -> value.value().length).sum();
    }

    private static double listBytes(int workers) {
        return Json.mapper().valueToTree(hosts(workers)).toString().length();
    }

    private static double planBytes(int workers) {
        return Json.mapper().valueToTree(wave(snapshot(workers, 53))).toString().length();
    }

    private static double heapBytes(int workers) {
        long before = usedHeap();
        Snapshot snapshot = snapshot(workers, 53);
        long used = usedHeap() - before;
        return snapshot.revision() > 0 ? used : 0;
    }

    private static long usedHeap() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
