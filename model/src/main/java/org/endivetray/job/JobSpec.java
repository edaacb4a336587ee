package org.endivetray.job;

import java.util.List;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;

/**
 * The steps of a job, which runs once or on a schedule.
 *
 * <p>Invariants: each step has at least one task and comes after earlier steps only.
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
    /** Most tasks of one occurrence of a job. */
    public static final int MAX_TASKS = 10_000;

    /** Most tasks of a job in all its occurrences. */
    public static final int MAX_TOTAL_TASKS = 100_000;

    /** Latest due time that is told apart from later ones, in milliseconds since 1970. */
    public static final long MAX_DUE_MILLIS = 1L << 53;

    /**
     * Constructs a job.
     *
     * @throws EndivetrayException with {@link ResultCode#MALFORMED_REQUEST} if the job has too many
     *     tasks, or if a step has no task, asks for a negative amount of a resource or comes after
     *     a step that is not an earlier one
     */
    public JobSpec {
        steps = List.copyOf(steps);
        for (int i = 0; i < steps.size(); i++) {
            requireValid(steps.get(i), i);
        }
        long tasks = steps.stream().mapToLong(StepSpec::count).sum();
        if (tasks > MAX_TASKS) {
            throw malformed("the job has " + tasks + " tasks, more than " + MAX_TASKS);
        }
        long total = tasks * Math.max(1, repetitions);
        if (total > MAX_TOTAL_TASKS) {
            throw malformed(
                    "the job has "
                            + total
                            + " tasks in "
                            + repetitions
                            + " occurrences, more than "
                            + MAX_TOTAL_TASKS);
        }
    }

    private static void requireValid(StepSpec step, int number) {
        boolean isAfterEarlier =
                step.after().stream().allMatch(earlier -> earlier >= 0 && earlier < number);
        if (step.count() < 1 || !isAfterEarlier) {
            throw malformed(
                    "step "
                            + number
                            + " must have a positive 'count' and only earlier steps in 'after': "
                            + step.count()
                            + " and "
                            + step.after());
        }
        if (step.cpuMillis() < 0 || step.memoryMb() < 0 || step.gpus() < 0) {
            throw malformed(
                    "step "
                            + number
                            + " must not ask for a negative amount: cpu "
                            + step.cpuMillis()
                            + ", memory "
                            + step.memoryMb()
                            + " MB, gpus "
                            + step.gpus());
        }
    }

    private static EndivetrayException malformed(String message) {
        return new EndivetrayException(ResultCode.MALFORMED_REQUEST, message);
    }

    /** Returns the number of tasks of all steps together. */
    public int tasksPerOccurrence() {
        return steps.stream().mapToInt(StepSpec::count).sum();
    }

    /** Returns whether a task with the id exists in a job with these steps. */
    public boolean hasTask(TaskId id) {
        return id.occurrence() >= 0
                && id.occurrence() < occurrences()
                && id.step() >= 0
                && id.step() < steps.size()
                && id.index() >= 0
                && id.index() < steps.get(id.step()).count();
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
     * Returns the time at which an occurrence is due, in milliseconds since 1970, within {@link
     * #MAX_DUE_MILLIS} of it. Callers set both parts, so their sum may exceed the range of a number
     * of 64 bits; such an occurrence is not due in the lifetime of a daemon, or was due long ago.
     *
     * @param occurrence number of the occurrence, from 0
     */
    public long dueMillis(int occurrence) {
        double approximate = (double) firstDueMillis + (double) occurrence * intervalMillis;
        if (Math.abs(approximate) >= MAX_DUE_MILLIS) {
            return approximate > 0 ? MAX_DUE_MILLIS : -MAX_DUE_MILLIS;
        }
        return firstDueMillis + occurrence * intervalMillis;
    }
}
