package org.endivetray.daemon.job.record;

import java.util.Set;

/**
 * The stored form of the progress of a maintenance wave.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param startMillis time at which the wave was first seen, in milliseconds since 1970
 * @param done ids of the workers whose upkeep has begun, not null
 * @param isCompleted whether the upkeep of all workers of the wave has begun
 */
public record StoredWave(long startMillis, Set<String> done, boolean isCompleted) {
    public StoredWave {
        done = Set.copyOf(done);
    }
}
