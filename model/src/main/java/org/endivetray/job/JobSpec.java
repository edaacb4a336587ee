package org.endivetray.job;

import java.util.List;

/**
 * The steps of a job, which runs once or on a schedule.
 *
 * <p>Invariants: there is at least one step.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param payload data that is passed to each task, not null
 * @param steps the steps, not null
 * @param repetitions number of scheduled occurrences, 0 for a job that runs once immediately
 * @param firstDueMillis time at which the first occurrence is due, in milliseconds since 1970
 * @param intervalMillis time between occurrences, in milliseconds
 */
public record JobSpec(
        String payload,
        List<StepSpec> steps,
        int repetitions,
        long firstDueMillis,
        long intervalMillis) {
    public JobSpec {
        steps = List.copyOf(steps);
    }

    /** Returns the number of times that the steps run. */
    public int occurrences() {
        return Math.max(1, repetitions);
    }

    /** Returns whether the occurrences have due times. */
    public boolean isScheduled() {
        return repetitions > 0;
    }

    /**
     * Returns the time at which an occurrence is due, in milliseconds since 1970.
     *
     * @param occurrence number of the occurrence, from 0
     */
    public long dueMillis(int occurrence) {
        return firstDueMillis + occurrence * intervalMillis;
    }
}
