package org.endivetray.daemon.job.record;

import java.util.Set;

/**
 * The stored form of the queues of whose jobs a pool's owner holds records.
 *
 * <p>A pool with this record keeps an owner, also if the configuration in force sends no queue to
 * it any more. The record is first written once the locations of all jobs of the pool are stored.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param queues names of the queues, not null
 */
public record StoredQueues(Set<String> queues) {
    public StoredQueues {
        queues = Set.copyOf(queues);
    }
}
