package org.endivetray.job;

/**
 * The answer to a caller's request about a job.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param verdict what became of the request, not null
 * @param state the job's state, null unless told
 * @param pending number of waiting jobs, negative unless told
 * @param retryAfterMillis time after which to ask again, in milliseconds, 0 if not refused
 * @param reason why it was not done, empty if it was
 */
public record JobAnswer(
        Verdict verdict, JobState state, int pending, long retryAfterMillis, String reason) {
    /** What became of a request. */
    public enum Verdict {
        /** It was done. */
        OK,
        /** It was not done and never will be. */
        REFUSED,
        /** It cannot be read; it was not done and never will be. */
        MALFORMED,
        /** There is no such job. */
        NO_SUCH_JOB,
        /** It may have been done; the caller is to ask again with the same id. */
        UNKNOWN
    }

    /** Returns an answer that says the request was done. */
    public static JobAnswer ok() {
        return new JobAnswer(Verdict.OK, null, -1, 0, "");
    }

    /** Returns an answer with a job's state. */
    public static JobAnswer ofState(JobState state) {
        return new JobAnswer(Verdict.OK, state, -1, 0, "");
    }

    /** Returns an answer with a number of waiting jobs. */
    public static JobAnswer ofPending(int pending) {
        return new JobAnswer(Verdict.OK, null, pending, 0, "");
    }

    /** Returns an answer that there is no such job. */
    public static JobAnswer noSuchJob() {
        return new JobAnswer(Verdict.NO_SUCH_JOB, null, -1, 0, "no such job");
    }

    /**
     * Returns a refusal.
     *
     * @param retryAfterMillis time after which to ask again, in milliseconds
     * @param reason the reason, not null
     */
    public static JobAnswer refused(long retryAfterMillis, String reason) {
        return new JobAnswer(Verdict.REFUSED, null, -1, retryAfterMillis, reason);
    }

    /** Returns an answer that the request may or may not have been done. */
    public static JobAnswer unknown(String reason) {
        return new JobAnswer(Verdict.UNKNOWN, null, -1, 0, reason);
    }

    /** Returns an answer that the request cannot be read. */
    public static JobAnswer malformed(String reason) {
        return new JobAnswer(Verdict.MALFORMED, null, -1, 0, reason);
    }
}
