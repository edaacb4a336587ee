package org.endivetray.daemon.job.record;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.job.JobState;

/**
 * The stored form of the progress of a job, which the owner of its pool rewrites as it changes.
 *
 * <p>Invariants: tasks without progress are omitted, and so are the tasks of occurrences that are
 * done and all tasks of a job that has ended.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param state the job's state, not null
 * @param endedMillis time of the end, in milliseconds since 1970, 0 if not ended
 * @param tasks progress of the tasks, by {@code OCCURRENCE.STEP.INDEX}, not null
 * @param firstNotDone number of the first occurrence that is not done; omitted if it is 0
 * @param doneLater numbers of the occurrences after that one that are done, null for none; omitted
 *     if there are none
 */
public record StoredProgress(
        JobState state,
        long endedMillis,
        Map<String, StoredTask> tasks,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) int firstNotDone,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Integer> doneLater) {
    public StoredProgress {
        tasks = Map.copyOf(tasks);
        doneLater = doneLater == null ? List.of() : List.copyOf(doneLater);
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
