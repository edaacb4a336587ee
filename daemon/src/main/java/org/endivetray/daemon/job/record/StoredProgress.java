package org.endivetray.daemon.job.record;

import java.util.Map;
import java.util.Set;
import org.endivetray.job.JobState;

/**
 * The stored form of the progress of a job, which the owner of its pool rewrites as it changes.
 *
 * <p>Invariants: tasks without progress are omitted.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param state the job's state, not null
 * @param endedMillis time of the end, in milliseconds since 1970, 0 if not ended
 * @param tasks progress of the tasks, by {@code OCCURRENCE.STEP.INDEX}, not null
 */
public record StoredProgress(JobState state, long endedMillis, Map<String, StoredTask> tasks) {
    public StoredProgress {
        tasks = Map.copyOf(tasks);
    }

    /**
     * The stored progress of a task.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param done whether a run was completed successfully
     * @param failedRuns numbers of the runs that have failed, not null
     * @param run highest run number that was used
     * @param checkpoint last saved checkpoint, empty if there is none, not null
     */
    public record StoredTask(boolean done, Set<Integer> failedRuns, int run, String checkpoint) {
        public StoredTask {
            failedRuns = Set.copyOf(failedRuns);
        }
    }
}
