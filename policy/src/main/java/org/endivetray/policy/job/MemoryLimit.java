package org.endivetray.policy.job;

/**
 * Decides which jobs a daemon accepts and which of their due occurrences it loads, so that the
 * memory that jobs take is bounded.
 *
 * <p>Occurrences of scheduled jobs and jobs without schedule have limits of their own, so that a
 * backlog of the ones does not keep the others from running. Among scheduled jobs, the first open
 * occurrence of each is loaded before further occurrences of any, so that a job with a long backlog
 * or with tasks that can never run does not hold up the others.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class MemoryLimit {
    /** Most loaded tasks of jobs without schedule, and most of scheduled jobs. */
    public static final int MAX_TASKS = 60_000;

    /** Most loaded tasks of scheduled jobs at which further occurrences of a job are loaded. */
    public static final int MAX_TASKS_FOR_FURTHER = 10_000;

    /** Most bytes of the records of all jobs that are kept. */
    public static final long MAX_RECORD_BYTES = 32L << 20;

    private MemoryLimit() {}

    /**
     * Returns whether a new job can be held.
     *
     * @param isScheduled whether the job has due times
     * @param tasks number of tasks of one occurrence
     * @param recordBytes size of its record, in bytes
     * @param use what the daemon holds, not null
     */
    public static boolean accepts(boolean isScheduled, int tasks, int recordBytes, Use use) {
        boolean hasRoomForRecord = use.recordBytes() + recordBytes <= MAX_RECORD_BYTES;
        return hasRoomForRecord && (isScheduled || use.unscheduledTasks() + tasks <= MAX_TASKS);
    }

    /**
     * Returns whether a due occurrence can be loaded.
     *
     * @param isScheduled whether its job has due times
     * @param isFirst whether no other occurrence of its job is loaded
     * @param tasks number of its tasks
     * @param use what the daemon holds, not null
     */
    public static boolean mayLoad(boolean isScheduled, boolean isFirst, int tasks, Use use) {
        if (!isScheduled) {
            return use.unscheduledTasks() + tasks <= MAX_TASKS;
        }
        int limit = isFirst ? MAX_TASKS : MAX_TASKS_FOR_FURTHER;
        return use.scheduledTasks() + tasks <= limit;
    }

    /**
     * What the jobs of a daemon take.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param scheduledTasks number of loaded tasks of scheduled jobs
     * @param unscheduledTasks number of loaded tasks of jobs without schedule
     * @param recordBytes size of the records of all jobs, in bytes
     */
    public record Use(int scheduledTasks, int unscheduledTasks, long recordBytes) {}
}
