package org.endivetray;

import java.util.List;
import java.util.Objects;

/**
 * A row of the platform's host list.
 *
 * <p>The list is updated with a delay, so a row may be out of date.
 *
 * <p>Invariants: no component is null; cores, memory and accelerators are at least 0.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param worker the worker's unique name, not null
 * @param rack the rack's name, not null
 * @param zone the availability zone's name, not null
 * @param cores number of processor cores
 * @param memoryMb memory in mebibytes
 * @param accelerators number of accelerators
 * @param status the status that the platform reports, not null
 * @param minions the minions on the worker, null for none
 */
public record ListedHost(
        String worker,
        String rack,
        String zone,
        int cores,
        int memoryMb,
        int accelerators,
        ListedStatus status,
        List<MinionEndpoint> minions) {
    public ListedHost {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(status, "status");
        minions = minions == null ? List.of() : List.copyOf(minions);
    }

    /** Returns a copy with another status. */
    public ListedHost withStatus(ListedStatus status) {
        return new ListedHost(worker, rack, zone, cores, memoryMb, accelerators, status, minions);
    }

    /** Returns a copy with other minions. */
    public ListedHost withMinions(List<MinionEndpoint> minions) {
        return new ListedHost(worker, rack, zone, cores, memoryMb, accelerators, status, minions);
    }
}
