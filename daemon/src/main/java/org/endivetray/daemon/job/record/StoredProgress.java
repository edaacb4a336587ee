package org.endivetray.daemon.job.record;

import java.util.Map;
import java.util.Set;
import org.endivetray.job.JobState;

/**
 * The stored form of what has become of a job; its owner rewrites it.
 *
 * <p>Invariants: tasks of which nothing needs to be kept are left out.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param state the job's state, not null
 * @param endedMillis time of the end, in milliseconds since 1970, 0 if not ended
 * @param tasks what is kept of tasks, by {@code OCCURRENCE.STEP.INDEX}, not null
 */
public record StoredProgress(JobState state, long endedMillis, Map<String, StoredTask> tasks) {
    public StoredProgress {
        tasks = Map.copyOf(tasks);
    }

    /**
     * What is kept of a task.
     *
     * @param done whether a run has ended well
     * @param failedRuns numbers of the runs that have failed, not null
     * @param run highest run number that was used
     * @param checkpoint last saved progress, empty if none
     */
    public record StoredTask(boolean done, Set<Integer> failedRuns, int run, String checkpoint) {
        public StoredTask {
            failedRuns = Set.copyOf(failedRuns);
        }
    }
}
