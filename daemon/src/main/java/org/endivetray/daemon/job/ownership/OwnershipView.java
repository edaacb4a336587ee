package org.endivetray.daemon.job.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The live daemons and the shards' owners as of one revision of the shared store.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param revision the store's revision, 0 if nothing is known yet
 * @param daemons the live daemons by name, not null
 * @param owners the owners by shard, not null
 */
public record OwnershipView(
        long revision, Map<String, DaemonRecord> daemons, Map<String, ShardOwner> owners) {
    /** The view before anything is known. */
    public static final OwnershipView EMPTY = new OwnershipView(0, Map.of(), Map.of());

    public OwnershipView {
        daemons = Map.copyOf(daemons);
        owners = Map.copyOf(owners);
    }

    /** Returns the address of a shard's owner, if both are known. */
    public Optional<DaemonRecord> ownerOf(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner == null ? Optional.empty() : Optional.ofNullable(daemons.get(owner.daemon()));
    }

    /** Returns the processors of the daemons that take shards, in thousandths of a core. */
    public Map<String, Integer> assignableCpuMillis() {
        return daemons.values().stream()
                .filter(daemon -> !daemon.isStopping())
                .collect(Collectors.toMap(DaemonRecord::name, DaemonRecord::cpuMillis));
    }

    /** Returns the owning daemon by shard. */
    public Map<String, String> ownerNames() {
        Map<String, String> names = new HashMap<>();
        owners.forEach((shard, owner) -> names.put(shard, owner.daemon()));
        return names;
    }

    /**
     * The stored form of a live daemon.
     *
     * @param name its name, not null
     * @param host its IP number, not null
     * @param port port of the inner protocol
     * @param incarnation number of this life
     * @param cpuMillis processor of its host, in thousandths of a core
     * @param isStopping whether it gives its shards up
     */
    public record DaemonRecord(
            String name,
            String host,
            int port,
            long incarnation,
            int cpuMillis,
            boolean isStopping) {
        /** Returns a copy that says that the daemon gives its shards up. */
        public DaemonRecord stopping() {
            return new DaemonRecord(name, host, port, incarnation, cpuMillis, true);
        }
    }

    /**
     * The stored form of a shard's owner.
     *
     * @param daemon its name, not null
     * @param incarnation number of its life
     */
    public record OwnerRecord(String daemon, long incarnation) {}

    /**
     * A shard's owner.
     *
     * @param daemon its name, not null
     * @param incarnation number of its life
     * @param token the fencing token
     */
    public record ShardOwner(String daemon, long incarnation, long token) {}
}
