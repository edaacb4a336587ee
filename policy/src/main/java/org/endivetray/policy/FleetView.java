package org.endivetray.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.endivetray.HostRecord;
import org.endivetray.HostState;
import org.endivetray.ListedHost;
import org.endivetray.OutageLedger;
import org.endivetray.Pool;

/**
 * A consistent snapshot of pools, host records, ledgers and the platform's host list.
 *
 * <p>Invariants: a pool without a stored ledger has no planned outages.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class FleetView {
    private final Map<String, Pool> mPools;
    private final Map<String, HostRecord> mRecords;
    private final Map<String, OutageLedger> mLedgers;
    private final Map<String, ListedHost> mListed;
    private final Map<String, List<HostRecord>> mByPool = new HashMap<>();

    /**
     * Constructs a view.
     *
     * @param pools pools by name, not null
     * @param records host records by worker, not null
     * @param ledgers ledgers of planned outages by pool, not null
     * @param listed rows of the platform's host list by worker, not null
     */
    public FleetView(
            Map<String, Pool> pools,
            Map<String, HostRecord> records,
            Map<String, OutageLedger> ledgers,
            Map<String, ListedHost> listed) {
        mPools = new TreeMap<>(pools);
        mRecords = new TreeMap<>(records);
        mLedgers = new TreeMap<>(ledgers);
        mListed = new TreeMap<>(listed);
        for (HostRecord hostRecord : mRecords.values()) {
            mByPool.computeIfAbsent(hostRecord.pool(), name -> new ArrayList<>()).add(hostRecord);
        }
    }

    /** Returns the pools, ordered by name. */
    public List<Pool> pools() {
        return List.copyOf(mPools.values());
    }

    /** Returns the pool with the given name, or empty. */
    public Optional<Pool> pool(String name) {
        return Optional.ofNullable(mPools.get(name));
    }

    /** Returns the worker's record, or empty. */
    public Optional<HostRecord> record(String worker) {
        return Optional.ofNullable(mRecords.get(worker));
    }

    /** Returns the records, ordered by worker. */
    public List<HostRecord> records() {
        return List.copyOf(mRecords.values());
    }

    /** Returns the records of the pool's workers, ordered by worker. */
    public List<HostRecord> recordsOf(String pool) {
        return mByPool.getOrDefault(pool, List.of());
    }

    /** Returns the worker's row of the host list, or empty. */
    public Optional<ListedHost> listed(String worker) {
        return Optional.ofNullable(mListed.get(worker));
    }

    /** Returns the rows of the host list, ordered by worker. */
    public List<ListedHost> listedHosts() {
        return List.copyOf(mListed.values());
    }

    /** Returns the pool's ledger of planned outages, an empty one if none is stored. */
    public OutageLedger ledger(String pool) {
        OutageLedger ledger = mLedgers.get(pool);
        return ledger == null ? OutageLedger.ofPool(pool) : ledger;
    }

    /**
     * Returns whether the worker counts towards its pool's budget: it is active, has no planned
     * outage, and is available according to the host list.
     */
    public boolean isAvailable(HostRecord hostRecord) {
        if (hostRecord.state() != HostState.ACTIVE) {
            return false;
        }
        if (ledger(hostRecord.pool()).outages().containsKey(hostRecord.worker())) {
            return false;
        }
        ListedHost row = mListed.get(hostRecord.worker());
        return row != null && row.status().isAvailable();
    }

    /** Returns the host list's rows of the pool's workers that count towards its budget. */
    public List<ListedHost> available(String pool) {
        return recordsOf(pool).stream()
                .filter(this::isAvailable)
                .map(hostRecord -> mListed.get(hostRecord.worker()))
                .toList();
    }
}
