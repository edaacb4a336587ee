package org.endivetray.daemon.job.record;

import java.util.Set;

/**
 * The stored form of which workers have been given orders of late.
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
