package org.endivetray.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivetray.AvailabilityBudget;
import org.endivetray.HostRecord;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.OutageLedger;
import org.endivetray.Pool;

/** Builds small fleets for tests. */
final class FleetBuilder {
    private final Map<String, Pool> mPools = new HashMap<>();
    private final Map<String, HostRecord> mRecords = new HashMap<>();
    private final Map<String, OutageLedger> mLedgers = new HashMap<>();
    private final Map<String, ListedHost> mListed = new HashMap<>();

    FleetBuilder pool(String name, boolean spare, AvailabilityBudget budget) {
        mPools.put(name, new Pool(name, spare, budget, List.of()));
        return this;
    }

    FleetBuilder worker(String name, String rack, String pool) {
        return worker(name, rack, pool, ListedStatus.LIVE);
    }

    FleetBuilder worker(String name, String rack, String pool, ListedStatus status) {
        mRecords.put(name, HostRecord.ofActive(name, pool));
        mListed.put(
                name,
                new ListedHost(name, rack, "z" + rack.hashCode() % 3, 8, 1024, 0, status, null));
        return this;
    }

    FleetBuilder unlisted(String name) {
        mListed.remove(name);
        return this;
    }

    FleetBuilder record(HostRecord hostRecord) {
        mRecords.put(hostRecord.worker(), hostRecord);
        return this;
    }

    FleetBuilder ledger(OutageLedger ledger) {
        mLedgers.put(ledger.pool(), ledger);
        return this;
    }

    FleetView view() {
        return new FleetView(mPools, mRecords, mLedgers, mListed);
    }

    /** Adds workers to the pool, each in a rack of its own. */
    FleetBuilder workers(int count, String prefix, String pool) {
        for (int i = 0; i < count; i++) {
            worker(prefix + i, "r" + i, pool);
        }
        return this;
    }

    /** Returns every subset of the list. */
    static <T> List<List<T>> subsets(List<T> all) {
        List<List<T>> subsets = new ArrayList<>();
        subsets.add(List.of());
        for (T item : all) {
            for (List<T> known : List.copyOf(subsets)) {
                List<T> larger = new ArrayList<>(known);
                larger.add(item);
                subsets.add(larger);
            }
        }
        return subsets;
    }
}
