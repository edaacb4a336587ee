package org.endivetray.daemon.job.record;

import java.util.Set;

/**
 * The stored form of the progress of a maintenance wave.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param startMillis time at which the wave was first seen, in milliseconds since 1970
 * @param done ids of the workers whose maintenance has started, not null
 * @param isCompleted whether the maintenance of all listed workers of the wave has started
 */
public record StoredWave(long startMillis, Set<String> done, boolean isCompleted) {
    public StoredWave {
        done = Set.copyOf(done);
    }
}
