package org.endivetray.job;

/**
 * The answer to a caller's request about a job.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param verdict the result of the request, not null
 * @param state the job's state, null if the answer has none
 * @param pending number of waiting jobs, negative if the answer has none
 * @param retryAfterMillis delay before the caller retries, in milliseconds, 0 if not refused
 * @param reason why the request was not carried out, empty if it was
 */
public record JobAnswer(
        Verdict verdict, JobState state, int pending, long retryAfterMillis, String reason) {
    /** Time for which no job is accepted under the id of a cancelled one, at the least. */
    private static final long RETRY_AFTER_CANCELLATION_MILLIS = 120_000;

    /** The result of a request. */
    public enum Verdict {
        /** The request was carried out. */
        OK,
        /** The request was not carried out and never will be. */
        REFUSED,
        /** The request is malformed; it was not carried out and never will be. */
        MALFORMED,
        /** The caller has no valid key for the queue; the request was not carried out. */
        UNAUTHORIZED,
        /** The job does not exist. */
        NO_SUCH_JOB,
        /** The request may have been carried out; the caller must repeat it with the same id. */
        UNKNOWN
    }

    /** Returns an answer to a request that was carried out. */
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

    /** Returns an answer to a request for a job that does not exist. */
    public static JobAnswer noSuchJob() {
        return new JobAnswer(Verdict.NO_SUCH_JOB, null, -1, 0, "no such job");
    }

    /**
     * Returns an answer to a request that was refused.
     *
     * @param retryAfterMillis delay before the caller retries, in milliseconds
     * @param reason why the request was refused, not null
     */
    public static JobAnswer refused(long retryAfterMillis, String reason) {
        return new JobAnswer(Verdict.REFUSED, null, -1, retryAfterMillis, reason);
    }

    /** Returns an answer to a submission of a job that was cancelled before it was accepted. */
    public static JobAnswer cancelledBefore() {
        return refused(
                RETRY_AFTER_CANCELLATION_MILLIS, "the job was cancelled before it was accepted");
    }

    /** Returns an answer to a request that may or may not have been carried out. */
    public static JobAnswer unknown(String reason) {
        return new JobAnswer(Verdict.UNKNOWN, null, -1, 0, reason);
    }

    /** Returns an answer to a request without a valid key. */
    public static JobAnswer unauthorized() {
        return new JobAnswer(Verdict.UNAUTHORIZED, null, -1, 0, "no valid key for this queue");
    }

    /** Returns an answer to a malformed request. */
    public static JobAnswer malformed(String reason) {
        return new JobAnswer(Verdict.MALFORMED, null, -1, 0, reason);
    }
}
