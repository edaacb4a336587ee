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
 * <p>Invariants: there are at most as many connections as the limit says; a connection whose
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
    private long mLastUse;

    /** What a connection is used for; those of earlier phases give way first. */
    public enum Phase {
        /** Its request was refused and may still be arriving. */
        REFUSED(true),
        /** It has no request, or the head of one is arriving. */
        IDLE(true),
        /** The body of a request is arriving, so that it has not run. */
        RECEIVING(true),
        /** A request was received and is not answered, or the peer is known. */
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
     * @return the connection that must be closed, which is no longer in the table: the given one if
     *     no other may give way, null if the limit is kept
     */
    public synchronized C add(C connection) {
        C closed = null;
        if (mEntries.size() >= mMaxConnections) {
            closed = connectionToClose();
            if (closed == null) {
                return connection;
            }
            remove(closed);
        }
        Entry<C> entry = new Entry<>(connection);
        mEntries.put(connection, entry);
        enter(entry, Phase.IDLE);
        return closed;
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
     * Records what a connection is used for now; has no effect if it is not in the table.
     *
     * @return number of this use, for {@link #leave}
     */
    public synchronized long enter(C connection, Phase phase) {
        Entry<C> entry = mEntries.get(connection);
        if (entry != null) {
            mByPhase.get(entry.mPhase).remove(entry);
            entry.mUse = ++mLastUse;
            enter(entry, phase);
        }
        return mLastUse;
    }

    /**
     * Records that a use has ended and left the connection idle; has no effect if the connection
     * has been used for something else since.
     */
    public synchronized void leave(C connection, long use) {
        Entry<C> entry = mEntries.get(connection);
        if (entry != null && entry.mUse == use) {
            mByPhase.get(entry.mPhase).remove(entry);
            enter(entry, Phase.IDLE);
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
            mByPhase.get(entry.mPhase).remove(entry);
        }
    }

    /** Returns the number of open connections. */
    public synchronized int size() {
        return mEntries.size();
    }
}
