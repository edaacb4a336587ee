package org.endivetray.daemon.state;

import java.util.Map;
import java.util.TreeMap;
import org.endivetray.HostRecord;

/**
 * The host records that are stored together under one key.
 *
 * <p>Invariants: each record is mapped by the name of its worker.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param hosts the records by worker name, not null
 */
public record HostShard(Map<String, HostRecord> hosts) {
    /** A shard without records. */
    public static final HostShard EMPTY = new HostShard(Map.of());

    public HostShard {
        hosts = Map.copyOf(hosts);
    }

    /** Returns a copy with the record added or replaced. */
    public HostShard plus(HostRecord hostRecord) {
        Map<String, HostRecord> next = new TreeMap<>(hosts);
        next.put(hostRecord.worker(), hostRecord);
        return new HostShard(next);
    }
}
