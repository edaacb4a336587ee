package org.endivetray.daemon.job.record;

import java.util.Set;

/**
 * The stored form of how far a maintenance wave is.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param startMillis time at which the wave was first seen, in milliseconds since 1970
 * @param done ids of the workers that have begun their upkeep, not null
 * @param isCompleted whether all have
 */
public record StoredWave(long startMillis, Set<String> done, boolean isCompleted) {
    public StoredWave {
        done = Set.copyOf(done);
    }
}
