package org.endivetray;

import java.util.Map;
import java.util.TreeMap;

/**
 * The planned outages of one pool.
 *
 * <p>A plan takes a worker out of service only by a compare-and-swap that adds the worker here
 * after the budget check, so that two plans cannot break the budget together.
 *
 * <p>Invariants: no component is null; a worker has at most one outage.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pool the pool's name, not null
 * @param outages ids of the plans that took workers out of service, by worker name, not null
 */
public record OutageLedger(String pool, Map<String, String> outages) {
    public OutageLedger {
        outages = Map.copyOf(outages);
    }

    /** Returns a ledger without outages. */
    public static OutageLedger ofPool(String pool) {
        return new OutageLedger(pool, Map.of());
    }

    /** Returns a copy with an outage of the worker by the plan. */
    public OutageLedger plusOutage(String worker, String planId) {
        Map<String, String> next = new TreeMap<>(outages);
        next.put(worker, planId);
        return new OutageLedger(pool, next);
    }

    /** Returns a copy without an outage of the worker. */
    public OutageLedger minusOutage(String worker) {
        Map<String, String> next = new TreeMap<>(outages);
        next.remove(worker);
        return new OutageLedger(pool, next);
    }
}
