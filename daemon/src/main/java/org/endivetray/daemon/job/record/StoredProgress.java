package org.endivetray.daemon.job.record;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.HashMap;
import java.util.HashSet;
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
     * <p>Invariants: a run that has failed is in one of the two sets.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param done whether a run was completed successfully
     * @param failedRuns numbers of the runs that have failed, not null
     * @param run highest run number that was used
     * @param checkpoint last saved checkpoint, empty if there is none, not null
     * @param failedRanges last number of each range of runs that have failed, by its first; null
     *     for none; omitted if there are none
     */
    public record StoredTask(
            boolean done,
            Set<Integer> failedRuns,
            int run,
            String checkpoint,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<Integer, Integer> failedRanges) {
        /** Most failed runs that are stored one by one, which all versions read. */
        private static final int MAX_LISTED = 16;

        public StoredTask {
            failedRuns = Set.copyOf(failedRuns);
            failedRanges = failedRanges == null ? Map.of() : Map.copyOf(failedRanges);
        }

        /** Returns the progress of a task; many failed runs are stored as ranges. */
        public static StoredTask of(
                boolean done, Set<Integer> failedRuns, int run, String checkpoint) {
            return failedRuns.size() <= MAX_LISTED
                    ? new StoredTask(done, failedRuns, run, checkpoint, Map.of())
                    : new StoredTask(done, Set.of(), run, checkpoint, toRanges(failedRuns));
        }

        private static Map<Integer, Integer> toRanges(Set<Integer> numbers) {
            Map<Integer, Integer> ranges = new HashMap<>();
            for (int first : numbers) {
                if (!numbers.contains(first - 1)) {
                    int last = first;
                    while (numbers.contains(last + 1)) {
                        last++;
                    }
                    ranges.put(first, last);
                }
            }
            return ranges;
        }

        /** Returns the numbers of all runs that have failed. */
        public Set<Integer> allFailedRuns() {
            Set<Integer> all = new HashSet<>(failedRuns);
            failedRanges.forEach(
                    (first, last) -> {
                        for (long number = first; number <= last; number++) {
                            all.add((int) number);
                        }
                    });
            return all;
        }
    }
}
