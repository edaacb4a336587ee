package org.endivetray.daemon.job.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A snapshot of the live daemons and the shards' owners at one revision of the shared store.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param revision the store's revision, 0 if the store has not been read yet
 * @param daemons the live daemons by name, not null
 * @param owners the owners by shard, not null
 * @param poolQueues by pool, the queues of whose jobs its owner holds records; a pool that has
 *     never had an owner is missing; not null
 * @param inboxes the pools in whose inbox there may be jobs that no owner has read, not null
 */
public record OwnershipView(
        long revision,
        Map<String, DaemonRecord> daemons,
        Map<String, ShardOwner> owners,
        Map<String, Set<String>> poolQueues,
        Set<String> inboxes) {
    /** The view before the store has been read. */
    public static final OwnershipView EMPTY =
            new OwnershipView(0, Map.of(), Map.of(), Map.of(), Set.of());

    public OwnershipView {
        daemons = Map.copyOf(daemons);
        owners = Map.copyOf(owners);
        poolQueues = Map.copyOf(poolQueues);
        inboxes = Set.copyOf(inboxes);
    }

    /** Returns whether records of jobs of a pool are stored, as far as all daemons know. */
    public boolean hasJobs(String pool) {
        return !poolQueues.getOrDefault(pool, Set.of()).isEmpty() || inboxes.contains(pool);
    }

    /** Returns the pools of which records of jobs are stored. */
    public List<String> poolsWithJobs() {
        return Stream.concat(poolQueues.keySet().stream(), inboxes.stream())
                .filter(this::hasJobs)
                .distinct()
                .toList();
    }

    /** Returns the pools other than a given one that hold records of a queue's jobs. */
    public List<String> otherPoolsOf(String queue, String pool) {
        return poolQueues.keySet().stream()
                .filter(other -> !other.equals(pool) && poolQueues.get(other).contains(queue))
                .toList();
    }

    /**
     * Returns the daemon that owns a shard, empty if the shard has no owner or its owner is not
     * live.
     */
    public Optional<DaemonRecord> ownerOf(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner == null ? Optional.empty() : Optional.ofNullable(daemons.get(owner.daemon()));
    }

    /**
     * Returns the CPU capacity of the daemons to which shards can be assigned, by daemon name, in
     * thousandths of a core.
     */
    public Map<String, Integer> assignableCpuMillis() {
        return daemons.values().stream()
                .filter(daemon -> !daemon.isStopping())
                .collect(Collectors.toMap(DaemonRecord::name, DaemonRecord::cpuMillis));
    }

    /** Returns the names of the owning daemons by shard. */
    public Map<String, String> ownerNames() {
        Map<String, String> names = new HashMap<>();
        owners.forEach((shard, owner) -> names.put(shard, owner.daemon()));
        return names;
    }

    /**
     * The stored form of a live daemon.
     *
     * @param name its name, not null
     * @param host its IP address, not null
     * @param port port of the protocol between daemons
     * @param incarnation number of the daemon's incarnation
     * @param cpuMillis CPU time available to it, in thousandths of a core
     * @param isStopping whether it is handing its shards over and claims no others
     */
    public record DaemonRecord(
            String name,
            String host,
            int port,
            long incarnation,
            int cpuMillis,
            boolean isStopping) {
        /** Returns a copy that marks the daemon as stopping. */
        public DaemonRecord stopping() {
            return new DaemonRecord(name, host, port, incarnation, cpuMillis, true);
        }
    }

    /**
     * The stored form of a shard's owner.
     *
     * @param daemon name of the owning daemon, not null
     * @param incarnation number of the daemon's incarnation
     */
    public record OwnerRecord(String daemon, long incarnation) {}

    /**
     * A shard's owner.
     *
     * @param daemon name of the owning daemon, not null
     * @param incarnation number of the daemon's incarnation
     * @param token the fencing token
     */
    public record ShardOwner(String daemon, long incarnation, long token) {}
}
