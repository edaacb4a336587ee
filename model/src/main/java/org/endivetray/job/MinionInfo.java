package org.endivetray.job;

import java.util.List;

/**
 * What a minion says of itself.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id id of the minion, not null
 * @param pool pool that it belongs to, not null
 * @param host IP number at which it takes orders, not null
 * @param port port at which it takes orders
 * @param zone availability zone, not null
 * @param draining whether it takes no new work
 * @param cpuMillis its processors, in thousandths of a core
 * @param memoryMb its memory, in megabytes
 * @param gpus its accelerators
 * @param labels its kind and its rack, not null
 * @param bornMillis start of this incarnation, in milliseconds since 1970, 0 if not known
 */
public record MinionInfo(
        String id,
        String pool,
        String host,
        int port,
        String zone,
        boolean draining,
        int cpuMillis,
        int memoryMb,
        int gpus,
        List<String> labels,
        long bornMillis) {
    public MinionInfo {
        labels = List.copyOf(labels);
    }

    /** Returns the label that names its rack, empty if it has none. */
    public String rack() {
        return labels.size() > 1 ? labels.get(1) : "";
    }
}
