package org.endivetray.job;

import java.util.List;

/**
 * A confirmed maintenance wave: each worker is to have its upkeep within a time.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param number number of the wave
 * @param workers ids of the workers, not null
 * @param durationMillis time within which all are to be done, in milliseconds
 * @param maxAtOnce most workers that may be down for it at the same time
 */
public record WaveRequest(long number, List<String> workers, long durationMillis, int maxAtOnce) {
    public WaveRequest {
        workers = List.copyOf(workers);
    }
}
