package org.endivetray.daemon.job.shard;

/**
 * The phase of a task, as known to the owner of its shard.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum TaskPhase {
    /** No run is known to exist; the task may be started once its step is ready. */
    WAITING(false),
    /** A start was ordered and has not been confirmed yet. */
    STARTING(true),
    /** A run was confirmed. */
    RUNNING(true),
    /** A stop was ordered; the run may still exist. */
    STOPPING(true),
    /** A run was completed successfully. */
    DONE(false);

    private final boolean mOccupiesMinion;

    TaskPhase(boolean occupiesMinion) {
        mOccupiesMinion = occupiesMinion;
    }

    /** Returns whether the task may use resources of a minion. */
    public boolean occupiesMinion() {
        return mOccupiesMinion;
    }
}
