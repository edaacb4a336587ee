package org.endivetray.job;

import java.util.Optional;

/**
 * The identity of one task of a job.
 *
 * <p>Invariants: the string form is {@code JOB.OCCURRENCE.STEP.INDEX}.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param job id of the job, not null
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param index number of the task in its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /**
     * Returns the id with the given string form, or empty if the string is malformed.
     *
     * @param text the string form, not null
     */
    public static Optional<TaskId> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new TaskId(
                            parts[0],
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
