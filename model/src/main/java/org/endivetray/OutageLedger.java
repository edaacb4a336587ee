package org.endivetray;

import java.util.Map;
import java.util.TreeMap;

/**
 * The planned outages of one pool.
 *
 * <p>A worker is taken out only by a compare-and-swap that adds it here after the budget check, so
 * two plans can never jointly break the budget.
 *
 * <p>Invariants: no component is null; a worker has at most one outage.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pool the pool's name, not null
 * @param outages the plan id of each worker that is out, by worker, not null
 */
public record OutageLedger(String pool, Map<String, String> outages) {
    public OutageLedger {
        outages = Map.copyOf(outages);
    }

    /** Returns a ledger without outages. */
    public static OutageLedger ofPool(String pool) {
        return new OutageLedger(pool, Map.of());
    }

    /** Returns a copy in which the plan has taken the worker out. */
    public OutageLedger plusOutage(String worker, String planId) {
        Map<String, String> next = new TreeMap<>(outages);
        next.put(worker, planId);
        return new OutageLedger(pool, next);
    }

    /** Returns a copy without the worker's outage. */
    public OutageLedger minusOutage(String worker) {
        Map<String, String> next = new TreeMap<>(outages);
        next.remove(worker);
        return new OutageLedger(pool, next);
    }
}
