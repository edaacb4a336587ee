package org.endivetray.daemon.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.ListedHost;
import org.endivetray.Member;
import org.endivetray.MinionEndpoint;
import org.endivetray.Plan;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.ServiceDeclaration;
import org.endivetray.daemon.state.HostShard;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.platform.WorkerControl;

/**
 * Writes the pools, members and joining workers of a confirmed change of configuration.
 *
 * <p>Invariants: applying it again after a part was written gives the same records.
 *
 * <p>This class is immutable and thread-safe; its method blocks.
 */
final class ConfigurationWriter {
    private final RecordWriter mRecords;
    private final WorkerControl mWorkers;
    private final int mShards;

    ConfigurationWriter(RecordWriter records, WorkerControl workers, int shards) {
        mRecords = records;
        mWorkers = workers;
        mShards = shards;
    }

    /** Writes what differs from the snapshot. */
    void apply(Snapshot snapshot, Plan plan) {
        for (Pool pool : plan.intent().pools()) {
            boolean same = snapshot.fleet().pool(pool.name()).filter(pool::equals).isPresent();
            if (!same) {
                String key = StateKeys.POOL + pool.name();
                mRecords.write(key, snapshot.version(key), pool);
            }
        }
        for (Member member : plan.intent().members()) {
            if (!snapshot.member(member.name()).filter(member::equals).isPresent()) {
                String key = StateKeys.MEMBER + member.name();
                mRecords.write(key, snapshot.version(key), member);
            }
        }
        join(snapshot, plan);
        carry(snapshot, plan);
    }

    private void join(Snapshot snapshot, Plan plan) {
        Map<String, HostShard> shards = new TreeMap<>();
        for (HostRecord join : plan.intent().joins()) {
            HostRecord known = snapshot.fleet().record(join.worker()).orElse(null);
            if (known != null && !known.pool().equals(join.pool())) {
                throw new EndivetrayException(
                        ResultCode.WORKER_IN_POOL,
                        "worker '" + join.worker() + "' is in pool '" + known.pool() + "'");
            }
            if (known == null) {
                String key = StateKeys.hostShard(join.worker(), mShards);
                HostShard shard = shards.getOrDefault(key, snapshot.hostShard(key));
                shards.put(key, shard.plus(HostRecord.ofActive(join.worker(), join.pool())));
            }
        }
        shards.forEach((key, shard) -> mRecords.write(key, snapshot.version(key), shard));
    }

    /** Makes the workers of changed pools carry their services; spare pools stay as listed. */
    private void carry(Snapshot snapshot, Plan plan) {
        for (Pool pool : plan.intent().pools()) {
            if (pool.spare()) {
                continue;
            }
            List<String> services = pool.services().stream().map(ServiceDeclaration::name).toList();
            for (HostRecord hostRecord : snapshot.fleet().recordsOf(pool.name())) {
                if (!carries(snapshot, hostRecord.worker(), services)) {
                    RecordWriter.await(
                            mWorkers.assignServices(
                                    hostRecord.worker(),
                                    services,
                                    plan.id() + "/" + hostRecord.worker()));
                }
            }
        }
    }

    private static boolean carries(Snapshot snapshot, String worker, List<String> services) {
        ListedHost row = snapshot.fleet().listed(worker).orElse(null);
        if (row == null) {
            return true;
        }
        Set<String> carried = new HashSet<>();
        row.minions().stream().map(MinionEndpoint::service).forEach(carried::add);
        return carried.containsAll(services);
    }
}
