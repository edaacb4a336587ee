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
 * Writes the pools, members and joining workers of a confirmed configuration plan and assigns the
 * services of its pools to their workers.
 *
 * <p>Invariants: writing is idempotent, so a plan that was applied in part may be applied again.
 *
 * <p>This class is immutable and thread-safe; its method blocks.
 */
final class ConfigurationWriter {
    private final RecordWriter mRecordWriter;
    private final WorkerControl mWorkerControl;
    private final int mShards;

    ConfigurationWriter(RecordWriter records, WorkerControl workers, int shards) {
        mRecordWriter = records;
        mWorkerControl = workers;
        mShards = shards;
    }

    /** Writes the records of the plan that differ from the snapshot, then assigns the services. */
    void apply(Snapshot snapshot, Plan plan) {
        for (Pool pool : plan.intent().pools()) {
            boolean isUnchanged =
                    snapshot.fleet().pool(pool.name()).filter(pool::equals).isPresent();
            if (!isUnchanged) {
                String key = StateKeys.POOL + pool.name();
                mRecordWriter.write(key, snapshot.version(key), pool);
            }
        }
        for (Member member : plan.intent().members()) {
            if (!snapshot.member(member.name()).filter(member::equals).isPresent()) {
                String key = StateKeys.MEMBER + member.name();
                mRecordWriter.write(key, snapshot.version(key), member);
            }
        }
        addJoiningWorkers(snapshot, plan);
        assignPoolServices(snapshot, plan);
    }

    private void addJoiningWorkers(Snapshot snapshot, Plan plan) {
        Map<String, HostShard> shards = new TreeMap<>();
        for (HostRecord join : plan.intent().joins()) {
            HostRecord existing = snapshot.fleet().record(join.worker()).orElse(null);
            if (existing != null && !existing.pool().equals(join.pool())) {
                throw new EndivetrayException(
                        ResultCode.WORKER_IN_POOL,
                        "worker '" + join.worker() + "' is in pool '" + existing.pool() + "'");
            }
            if (existing == null) {
                String key = StateKeys.hostShard(join.worker(), mShards);
                HostShard shard = shards.getOrDefault(key, snapshot.hostShard(key));
                shards.put(key, shard.plus(HostRecord.ofActive(join.worker(), join.pool())));
            }
        }
        shards.forEach((key, shard) -> mRecordWriter.write(key, snapshot.version(key), shard));
    }

    /**
     * Assigns the services of each pool of the plan to its workers that lack one of them; workers
     * of spare pools keep the services they have.
     */
    private void assignPoolServices(Snapshot snapshot, Plan plan) {
        for (Pool pool : plan.intent().pools()) {
            if (pool.spare()) {
                continue;
            }
            List<String> services = pool.services().stream().map(ServiceDeclaration::name).toList();
            for (HostRecord hostRecord : snapshot.fleet().recordsOf(pool.name())) {
                if (!hasAllServices(snapshot, hostRecord.worker(), services)) {
                    RecordWriter.await(
                            mWorkerControl.assignServices(
                                    hostRecord.worker(),
                                    services,
                                    plan.id() + "/" + hostRecord.worker()));
                }
            }
        }
    }

    /**
     * Returns whether the worker has a minion of each service; a worker that is not in the host
     * list counts as having all.
     */
    private static boolean hasAllServices(Snapshot snapshot, String worker, List<String> services) {
        ListedHost listedHost = snapshot.fleet().listed(worker).orElse(null);
        if (listedHost == null) {
            return true;
        }
        Set<String> present = new HashSet<>();
        listedHost.minions().stream().map(MinionEndpoint::service).forEach(present::add);
        return present.containsAll(services);
    }
}
