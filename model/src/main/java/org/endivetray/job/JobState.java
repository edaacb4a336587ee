package org.endivetray.job;

/**
 * The state of a job as callers see it.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum JobState {
    QUEUED(false),
    RUNNING(false),
    COMPLETED(true),
    FAILED(true),
    CANCELED(true);

    private final boolean mFinal;

    JobState(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
        return mFinal;
    }
}
