package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The tickets that the placement advisor has granted for one step, by minion.
 *
 * <p>Invariants: an expired ticket is never returned.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PlacementTickets {
    private final Map<String, String> mTickets = new HashMap<>();
    private final Map<String, Long> mValidUntilNanos = new HashMap<>();
    private final Set<String> mRequestedMinions = new HashSet<>();
    private boolean mIsRequestPending;

    /** Returns whether a request for tickets is in flight. */
    boolean isRequestPending() {
        return mIsRequestPending;
    }

    /** Records that tickets have been requested for minions. */
    void onRequested(Iterable<String> minions) {
        mIsRequestPending = true;
        minions.forEach(mRequestedMinions::add);
    }

    /**
     * Records the tickets that were granted.
     *
     * @param tickets ticket by minion id, not null
     * @param validUntilNanos end of their validity on the monotonic clock, in nanoseconds
     */
    void onResponse(Map<String, String> tickets, long validUntilNanos) {
        mIsRequestPending = false;
        mTickets.putAll(tickets);
        tickets.keySet().forEach(minion -> mValidUntilNanos.put(minion, validUntilNanos));
    }

    /**
     * Records that a request failed, so that tickets for the same minions can be requested again.
     */
    void onRequestFailed() {
        mIsRequestPending = false;
        mRequestedMinions.clear();
        mRequestedMinions.addAll(mTickets.keySet());
    }

    /** Returns whether a ticket for a minion has been requested. */
    boolean wasRequested(String minion) {
        return mRequestedMinions.contains(minion);
    }

    /** Returns the valid ticket for a minion, empty if there is none. */
    String ticket(String minion, long nowNanos) {
        Long until = mValidUntilNanos.get(minion);
        if (until == null) {
            return "";
        }
        if (nowNanos - until >= 0) {
            discard(minion);
            return "";
        }
        return mTickets.get(minion);
    }

    /**
     * Discards a ticket that a minion rejected or that has expired, so that a new one can be
     * requested.
     */
    void discard(String minion) {
        mTickets.remove(minion);
        mValidUntilNanos.remove(minion);
        mRequestedMinions.remove(minion);
    }
}
