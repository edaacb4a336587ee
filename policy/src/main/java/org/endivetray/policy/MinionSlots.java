package org.endivetray.policy;

/**
 * The slots of one minion as seen by one daemon, for {@link MinionChooser}.
 *
 * <p>Implementations need not be thread-safe.
 */
public interface MinionSlots {
    /** Returns the number of requests that this daemon has in flight on the minion. */
    int inFlight();

    /** Returns the highest number of requests that this daemon may have in flight on the minion. */
    int limit();

    /** Returns whether the minion is in this daemon's availability zone. */
    boolean isInLocalZone();

    /**
     * Returns the number of slots that are free for this daemon, negative if the limit is exceeded.
     */
    default int freeSlots() {
        return limit() - inFlight();
    }
}
