package org.endivetray.daemon.job.shard;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.endivetray.policy.job.MemoryLimit;

/**
 * Loads the occurrences of jobs that are due, earliest due first, within the daemon's memory limit.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class OccurrenceLoader {
    private final ShardState mState;
    private final MemoryUse mMemory;

    OccurrenceLoader(ShardState state, MemoryUse memory) {
        mState = state;
        mMemory = memory;
    }

    /**
     * Loads the occurrences that are due.
     *
     * @param nowMillis time of the wall clock, in milliseconds since 1970
     */
    void loadDue(long nowMillis) {
        PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::dueMillis));
        for (JobEntry job : mState.mActiveJobs.values()) {
            addNext(job, nowMillis, due);
        }
        while (!due.isEmpty()) {
            Due next = due.poll();
            if (mayLoad(next.job())) {
                mState.load(next.job(), next.number());
                addNext(next.job(), nowMillis, due);
            }
        }
    }

    private static void addNext(JobEntry job, long nowMillis, PriorityQueue<Due> due) {
        int number = job.nextLoadable();
        if (number >= 0 && job.isDue(number, nowMillis)) {
            due.add(new Due(job, number, job.dueMillis(number)));
        }
    }

    private boolean mayLoad(JobEntry job) {
        return MemoryLimit.mayLoad(
                job.mStored.spec().isScheduled(),
                job.loadedOccurrences().isEmpty(),
                job.tasksPerOccurrence(),
                mMemory.current());
    }

    /** The next occurrence of a job, which is due. */
    private record Due(JobEntry job, int number, long dueMillis) {}
}
