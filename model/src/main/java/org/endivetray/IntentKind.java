package org.endivetray;

/**
 * The kind of change that an operator requests.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum IntentKind {
    /** Creates or changes pools, services, members and budgets. */
    CONFIGURE(false),
    /** Takes every worker of a rack out of service. */
    DRAIN_RACK(true),
    /** Takes one worker out of service. */
    DRAIN_WORKER(true),
    /** Takes every worker of an availability zone out of service. */
    DRAIN_ZONE(true),
    /** Puts drained workers of a rack back into service. */
    RESTORE_RACK(true),
    /** Moves spare workers from one pool to another. */
    LEND(true),
    /** Reboots workers in batches that grow as long as the workers come back healthy. */
    WAVE(true);

    private final boolean mChangesWorkers;

    IntentKind(boolean changesWorkers) {
        mChangesWorkers = changesWorkers;
    }

    /** Returns whether a plan of this kind changes workers, not only configuration. */
    public boolean changesWorkers() {
        return mChangesWorkers;
    }
}
