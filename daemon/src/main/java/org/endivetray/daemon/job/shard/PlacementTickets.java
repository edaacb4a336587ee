package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the placement advice has said of one step.
 *
 * <p>Invariants: a ticket is kept no longer than it is valid.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class PlacementTickets {
    private final Map<String, String> mTickets = new HashMap<>();
    private final Map<String, Long> mValidUntilNanos = new HashMap<>();
    private final Set<String> mAsked = new HashSet<>();
    private boolean mIsAsking;

    /** Returns whether an answer is awaited. */
    boolean isRequestPending() {
        return mIsAsking;
    }

    /** Records that the advice is being asked about minions. */
    void onRequested(Iterable<String> minions) {
        mIsAsking = true;
        minions.forEach(mAsked::add);
    }

    /** Records an answer. */
    void onResponse(Map<String, String> tickets, long validUntilNanos) {
        mIsAsking = false;
        mTickets.putAll(tickets);
        tickets.keySet().forEach(minion -> mValidUntilNanos.put(minion, validUntilNanos));
    }

    /** Records that no answer arrived, so that the same minions may be asked about again. */
    void onRequestFailed() {
        mIsAsking = false;
        mAsked.clear();
        mAsked.addAll(mTickets.keySet());
    }

    /** Returns whether the advice was asked about a minion. */
    boolean wasRequested(String minion) {
        return mAsked.contains(minion);
    }

    /** Returns the ticket for a minion, empty if there is none that is valid. */
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

    /** Forgets a ticket that a minion did not accept or that has run out. */
    void discard(String minion) {
        mTickets.remove(minion);
        mValidUntilNanos.remove(minion);
        mAsked.remove(minion);
    }
}
