package org.endivetray.policy;

/**
 * A read view of one minion for {@link MinionChooser}.
 *
 * <p>Implementations need not be thread-safe.
 */
public interface MinionSlots {
    /** Returns the number of requests in flight from this daemon. */
    int inFlight();

    /** Returns the highest number of requests that this daemon may have in flight. */
    int limit();

    /** Returns whether the minion is in the daemon's own availability zone. */
    boolean isInLocalZone();

    /** Returns the number of slots that are free for this daemon. */
    default int freeSlots() {
        return limit() - inFlight();
    }
}
