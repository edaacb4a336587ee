package org.endivetray.job;

import java.util.List;

/**
 * A minion as described by its registration.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id id of the minion, not null
 * @param pool name of the pool that it belongs to, not null
 * @param host IP address at which it accepts orders, not null
 * @param port port at which it accepts orders
 * @param zone availability zone, not null
 * @param draining whether it accepts no new work
 * @param cpuMillis CPU capacity, in thousandths of a core
 * @param memoryMb memory capacity, in megabytes
 * @param gpus number of accelerators
 * @param labels its kind and its rack, in this order, not null
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

    /** Returns a copy with another id. */
    public MinionInfo withId(String other) {
        return with(other, labels);
    }

    /** Returns a copy with other labels. */
    public MinionInfo withLabels(List<String> others) {
        return with(id, others);
    }

    private MinionInfo with(String newId, List<String> newLabels) {
        return new MinionInfo(
                newId,
                pool,
                host,
                port,
                zone,
                draining,
                cpuMillis,
                memoryMb,
                gpus,
                newLabels,
                bornMillis);
    }

    /** Returns the name of its rack, empty if not known. */
    public String rack() {
        return labels.size() > 1 ? labels.get(1) : "";
    }
}
