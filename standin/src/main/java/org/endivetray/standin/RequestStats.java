package org.endivetray.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.endivetray.Json;

/**
 * What became of the requests of one run.
 *
 * <p>This class is not thread-safe; the callers' event loop owns it.
 */
final class RequestStats {
    private static final long MAX_MICROS = 120_000_000;

    private final Map<String, Long> mCounts = new TreeMap<>();
    private final Map<String, Long> mCodes = new TreeMap<>();
    private final Histogram mLatency = new Histogram(MAX_MICROS, 3);
    private final Histogram mDirect = new Histogram(MAX_MICROS, 3);

    void increment(String name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    /** Forgets everything but what must never happen. */
    void clear() {
        mCounts.keySet().removeIf(name -> !name.equals("wrong") && !name.equals("cut"));
        mCodes.clear();
        mLatency.reset();
        mDirect.reset();
    }

    void incrementCode(String code) {
        mCodes.merge(code, 1L, Long::sum);
    }

    long count(String name) {
        return mCounts.getOrDefault(name, 0L);
    }

    void recordLatency(long nanos) {
        mLatency.recordValue(Math.min(MAX_MICROS, nanos / 1_000));
    }

    void recordDirectLatency(long nanos) {
        mDirect.recordValue(Math.min(MAX_MICROS, nanos / 1_000));
    }

    Histogram latency() {
        return mLatency;
    }

    Histogram directLatency() {
        return mDirect;
    }

    /** Returns counts, codes and latencies as JSON. */
    ObjectNode toJson() {
        ObjectNode json = Json.mapper().createObjectNode();
        mCounts.forEach(json::put);
        ObjectNode codes = json.putObject("codes");
        mCodes.forEach(codes::put);
        json.put("p50Ms", mLatency.getValueAtPercentile(50) / 1_000.0);
        json.put("p99Ms", mLatency.getValueAtPercentile(99) / 1_000.0);
        if (mDirect.getTotalCount() > 0) {
            json.put("directP50Ms", mDirect.getValueAtPercentile(50) / 1_000.0);
            json.put("directP99Ms", mDirect.getValueAtPercentile(99) / 1_000.0);
        }
        return json;
    }
}
