package org.endivetray.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.endivetray.Json;

/**
 * Counts outcomes and records latencies of the requests of a load test.
 *
 * <p>This class is not thread-safe.
 */
final class RequestStats {
    private static final long MAX_LATENCY_MICROS = 120_000_000;

    private final Map<String, Long> mCounts = new TreeMap<>();
    private final Map<String, Long> mCodes = new TreeMap<>();
    private final Histogram mLatency = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram mDirectLatency = new Histogram(MAX_LATENCY_MICROS, 3);

    void increment(String name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    /**
     * Resets everything but the counts of {@code wrong} and {@code cut}, which must stay zero even
     * during the warm-up.
     */
    void clear() {
        mCounts.keySet().removeIf(name -> !name.equals("wrong") && !name.equals("cut"));
        mCodes.clear();
        mLatency.reset();
        mDirectLatency.reset();
    }

    void incrementCode(String code) {
        mCodes.merge(code, 1L, Long::sum);
    }

    long count(String name) {
        return mCounts.getOrDefault(name, 0L);
    }

    void recordLatency(long nanos) {
        mLatency.recordValue(Math.min(MAX_LATENCY_MICROS, nanos / 1_000));
    }

    void recordDirectLatency(long nanos) {
        mDirectLatency.recordValue(Math.min(MAX_LATENCY_MICROS, nanos / 1_000));
    }

    Histogram latency() {
        return mLatency;
    }

    Histogram directLatency() {
        return mDirectLatency;
    }

    /** Returns the counts, result codes and latency percentiles as JSON. */
    ObjectNode toJson() {
        ObjectNode json = Json.mapper().createObjectNode();
        mCounts.forEach(json::put);
        ObjectNode codes = json.putObject("codes");
        mCodes.forEach(codes::put);
        json.put("p50Ms", mLatency.getValueAtPercentile(50) / 1_000.0);
        json.put("p99Ms", mLatency.getValueAtPercentile(99) / 1_000.0);
        if (mDirectLatency.getTotalCount() > 0) {
            json.put("directP50Ms", mDirectLatency.getValueAtPercentile(50) / 1_000.0);
            json.put("directP99Ms", mDirectLatency.getValueAtPercentile(99) / 1_000.0);
        }
        return json;
    }
}
