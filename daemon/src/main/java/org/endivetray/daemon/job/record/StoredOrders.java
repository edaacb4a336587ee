package org.endivetray.daemon.job.record;

import java.util.Set;

/**
 * The stored form of the workers that have recently been given orders.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param workers ids of the workers, not null
 */
public record StoredOrders(Set<String> workers) {
    public StoredOrders {
        workers = Set.copyOf(workers);
    }
}
