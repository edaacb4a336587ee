package org.endivetray.policy.intake;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The open connections of a port, and which of them is closed for a new one at the limit.
 *
 * <p>A connection that is chosen gives way once its event loop confirms it; until then a request on
 * it may become complete, which keeps it.
 *
 * <p>Invariants: there are at most as many connections as the limit says, beside those that are
 * about to be closed and those that were kept while no other could give way; a connection whose
 * request was received completely is never closed for another.
 *
 * <p>This class is thread-safe.
 *
 * @param <C> a connection, compared by identity
 */
public final class ConnectionTable<C> {
    private final int mMaxConnections;
    private final Map<C, Entry<C>> mEntries = new HashMap<>();
    private final Map<Phase, Set<Entry<C>>> mByPhase = new EnumMap<>(Phase.class);
    private int mGivingWay;
    private long mLastUse;

    /** What a connection is used for; those of earlier phases give way first. */
    public enum Phase {
        /** Its request was refused and may still be arriving. */
        REFUSED(true),
        /** It has no request, or the head of one is arriving. */
        IDLE(true),
        /** The body of a request is arriving, so that it has not run. */
        RECEIVING(true),
        /** It has sent whole messages of the inner protocol, all of which were answered. */
        KNOWN(true),
        /** A request was received and is not answered. */
        IN_USE(false);

        private final boolean mMayGiveWay;

        Phase(boolean mayGiveWay) {
            mMayGiveWay = mayGiveWay;
        }
    }

    private static final class Entry<C> {
        private final C mConnection;
        private Phase mPhase;
        private long mUse;
        private boolean mIsGivingWay;

        private Entry(C connection) {
            mConnection = connection;
        }
    }

    /**
     * Constructs a table without connections.
     *
     * @param maxConnections the limit, at least 1
     */
    public ConnectionTable(int maxConnections) {
        mMaxConnections = maxConnections;
        for (Phase phase : Phase.values()) {
            mByPhase.put(phase, new LinkedHashSet<>());
        }
    }

    /**
     * Adds a connection without a request.
     *
     * @param connection the connection, not null
     * @return the connection that must be closed: the given one, which is not in the table, if no
     *     other may give way; null if the limit is kept. Another one is closed on its event loop if
     *     {@link #giveWay} allows it.
     */
    public synchronized C add(C connection) {
        C chosen = null;
        if (size() >= mMaxConnections) {
            chosen = choose();
            if (chosen == null) {
                return connection;
            }
        }
        Entry<C> entry = new Entry<>(connection);
        mEntries.put(connection, entry);
        enter(entry, Phase.IDLE);
        return chosen;
    }

    /**
     * Removes a connection that was chosen, unless a request on it has become complete since.
     *
     * @param connection the connection, on its event loop, not null
     * @return whether the connection must be closed
     */
    public synchronized boolean giveWay(C connection) {
        Entry<C> entry = mEntries.get(connection);
        if (entry == null || !entry.mIsGivingWay) {
            return false;
        }
        remove(connection);
        return true;
    }

    /**
     * Chooses a connection to be closed while there are more than the limit says.
     *
     * @return the connection, to be closed as one that {@link #add} returns, null if the limit is
     *     kept or none may give way
     */
    public synchronized C chooseAboveLimit() {
        return size() > mMaxConnections ? choose() : null;
    }

    private C choose() {
        C chosen = connectionToClose();
        if (chosen != null) {
            Entry<C> entry = mEntries.get(chosen);
            mByPhase.get(entry.mPhase).remove(entry);
            entry.mIsGivingWay = true;
            mGivingWay++;
        }
        return chosen;
    }

    /** Returns the connection that has been longest in the first phase that may give way. */
    private C connectionToClose() {
        for (Phase phase : Phase.values()) {
            Iterator<Entry<C>> oldestFirst = mByPhase.get(phase).iterator();
            if (phase.mMayGiveWay && oldestFirst.hasNext()) {
                return oldestFirst.next().mConnection;
            }
        }
        return null;
    }

    /**
     * Records what a connection is used for now; has no effect if it is not in the table. One that
     * is about to be closed is kept if it is in use.
     *
     * @return number of this use, for {@link #leave}
     */
    public synchronized long enter(C connection, Phase phase) {
        Entry<C> entry = mEntries.get(connection);
        if (entry != null && (!entry.mIsGivingWay || phase == Phase.IN_USE)) {
            takeOut(entry);
            entry.mUse = ++mLastUse;
            enter(entry, phase);
        }
        return mLastUse;
    }

    /**
     * Records that a use has ended and left the connection idle; has no effect if the connection
     * has been used for something else since.
     */
    public void leave(C connection, long use) {
        leave(connection, use, Phase.IDLE);
    }

    /**
     * Records that a use has ended; has no effect if the connection has been used for something
     * else since.
     *
     * @param phase what the connection is used for now
     */
    public synchronized void leave(C connection, long use, Phase phase) {
        Entry<C> entry = mEntries.get(connection);
        if (entry != null && entry.mUse == use && !entry.mIsGivingWay) {
            mByPhase.get(entry.mPhase).remove(entry);
            enter(entry, phase);
        }
    }

    private void enter(Entry<C> entry, Phase phase) {
        entry.mPhase = phase;
        mByPhase.get(phase).add(entry);
    }

    /** Removes a connection that was closed. */
    public synchronized void remove(C connection) {
        Entry<C> entry = mEntries.remove(connection);
        if (entry != null) {
            takeOut(entry);
        }
    }

    private void takeOut(Entry<C> entry) {
        if (entry.mIsGivingWay) {
            entry.mIsGivingWay = false;
            mGivingWay--;
        } else {
            mByPhase.get(entry.mPhase).remove(entry);
        }
    }

    /** Returns the number of open connections, without those that are about to be closed. */
    public synchronized int size() {
        return mEntries.size() - mGivingWay;
    }
}
