package org.endivetray;

/**
 * What an operator can ask for.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum IntentKind {
    /** Creates pools, services, members and budgets, or changes them. */
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
    /** Reboots workers in steps that grow while they come back healthy. */
    WAVE(true);

    private final boolean mTouchesHosts;

    IntentKind(boolean touchesHosts) {
        mTouchesHosts = touchesHosts;
    }

    /** Returns whether a plan of this kind changes workers and not only configuration. */
    public boolean changesWorkers() {
        return mTouchesHosts;
    }
}
