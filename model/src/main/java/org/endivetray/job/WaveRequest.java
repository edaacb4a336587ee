package org.endivetray.job;

import java.util.List;

/**
 * A confirmed maintenance wave, which takes each of its workers into maintenance once.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param number number of the wave
 * @param workers ids of the workers, not null
 * @param durationMillis time within which all workers must be maintained, in milliseconds
 * @param maxAtOnce maximum number of workers that the wave takes down at the same time
 */
public record WaveRequest(long number, List<String> workers, long durationMillis, int maxAtOnce) {
    public WaveRequest {
        workers = List.copyOf(workers);
    }
}
