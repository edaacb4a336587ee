package org.endivetray.daemon.job.shard;

/**
 * What the owner of a shard believes of a task.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum TaskPhase {
    /** Nothing of it runs; it may be started once its step is ready. */
    WAITING(false),
    /** A start was ordered and not yet confirmed. */
    STARTING(true),
    /** It runs. */
    RUNNING(true),
    /** A stop was ordered; it may still run. */
    STOPPING(true),
    /** A run has ended well. */
    DONE(false);

    private final boolean mOccupies;

    TaskPhase(boolean occupies) {
        mOccupies = occupies;
    }

    /** Returns whether the task may use room on a minion. */
    public boolean occupiesMinion() {
        return mOccupies;
    }
}
