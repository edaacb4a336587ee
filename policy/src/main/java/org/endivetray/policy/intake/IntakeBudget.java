package org.endivetray.policy.intake;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bytes of all requests that a daemon has begun to receive and has not answered.
 *
 * <p>A quarter of the budget is kept for small bodies, so that senders of large ones cannot keep
 * ordinary callers out. If a body does not fit, bodies that arrive too slowly give way; they have
 * not been received completely, so they have not run.
 *
 * <p>Invariants: the reserved bytes never exceed the budget; large bodies never take more than
 * their share; a body that was received completely is never evicted.
 *
 * <p>This class is thread-safe.
 */
public final class IntakeBudget {
    /** Largest body that may use the share that is kept for small ones, in bytes. */
    public static final int MAX_SMALL_BYTES = 16 * 1_024;

    /** Bytes that a body takes at the least, for what its request needs beside it. */
    private static final int MIN_RESERVED_BYTES = 1_024;

    /** A body is not judged slow before this time, in milliseconds. */
    private static final long SLOW_AFTER_MILLIS = 1_000;

    /** Least mean rate of a body while others wait for its room, in bytes per millisecond. */
    private static final long MIN_BYTES_PER_MILLI = 64;

    private static final int SMALL_SHARE_DIVISOR = 4;

    /** Most bodies that are looked at to find a slow one. */
    private static final int MAX_CANDIDATES = 32;

    private final long mBudgetBytes;
    private final long mLargeBudgetBytes;

    /** The bodies that are being received, in the order in which they began. */
    private final Set<Reservation> mSmall = new LinkedHashSet<>();

    private final Set<Reservation> mLarge = new LinkedHashSet<>();
    private long mReservedBytes;
    private long mLargeReservedBytes;

    /**
     * Constructs a budget of which nothing is reserved.
     *
     * @param budgetBytes size of the budget, in bytes
     */
    public IntakeBudget(long budgetBytes) {
        mBudgetBytes = budgetBytes;
        mLargeBudgetBytes = budgetBytes - budgetBytes / SMALL_SHARE_DIVISOR;
    }

    /**
     * Room for one body.
     *
     * <p>This class is thread-safe; its budget guards its state.
     */
    public static final class Reservation {
        private final Runnable mOnEvicted;
        private long mStartMillis;
        private long mReservedBytes;
        private long mReceivedBytes;
        private boolean mIsReleased;

        /**
         * Constructs a reservation without room.
         *
         * @param onEvicted called once if the body must give way, not null; the reservation has
         *     been released by then
         */
        public Reservation(Runnable onEvicted) {
            mOnEvicted = onEvicted;
        }

        private boolean isLarge() {
            return mReservedBytes > MAX_SMALL_BYTES;
        }

        private boolean isSlow(long nowMillis) {
            long ageMillis = nowMillis - mStartMillis;
            return ageMillis >= SLOW_AFTER_MILLIS
                    && mReceivedBytes < ageMillis * MIN_BYTES_PER_MILLI;
        }
    }

    /**
     * Reserves room for a body, or more room for one whose size was not announced.
     *
     * @param reservation the reservation of the body, not null
     * @param bytes all room that the body needs, in bytes
     * @param nowMillis the time on a steady clock, in milliseconds
     * @return whether the room is reserved; if not, the reservation is as before
     */
    public boolean reserve(Reservation reservation, int bytes, long nowMillis) {
        while (true) {
            Reservation victim;
            synchronized (this) {
                if (reservation.mIsReleased) {
                    return false;
                }
                if (tryReserve(reservation, Math.max(bytes, MIN_RESERVED_BYTES), nowMillis)) {
                    return true;
                }
                victim = slowBody(reservation, bytes, nowMillis);
                if (victim == null) {
                    return false;
                }
                release(victim);
            }
            victim.mOnEvicted.run();
        }
    }

    private boolean tryReserve(Reservation reservation, long bytes, long nowMillis) {
        boolean isLarge = bytes > MAX_SMALL_BYTES;
        long added = bytes - reservation.mReservedBytes;
        long addedLarge = isLarge ? (reservation.isLarge() ? added : bytes) : 0;
        if (mReservedBytes + added > mBudgetBytes
                || isLarge && mLargeReservedBytes + addedLarge > mLargeBudgetBytes) {
            return false;
        }
        if (reservation.mReservedBytes == 0) {
            reservation.mStartMillis = nowMillis;
        }
        mReservedBytes += added;
        mLargeReservedBytes += addedLarge;
        if (isLarge) {
            mSmall.remove(reservation);
            mLarge.add(reservation);
        } else {
            mSmall.add(reservation);
        }
        reservation.mReservedBytes = bytes;
        return true;
    }

    /** Returns a slow body whose room would help another one, null if there is none. */
    private Reservation slowBody(Reservation wanting, int bytes, long nowMillis) {
        Reservation large = firstSlow(mLarge, wanting, nowMillis);
        return large != null || bytes > MAX_SMALL_BYTES
                ? large
                : firstSlow(mSmall, wanting, nowMillis);
    }

    private static Reservation firstSlow(
            Set<Reservation> bodies, Reservation wanting, long nowMillis) {
        int count = 0;
        for (Iterator<Reservation> i = bodies.iterator(); i.hasNext() && count < MAX_CANDIDATES; ) {
            Reservation body = i.next();
            if (body != wanting && body.isSlow(nowMillis)) {
                return body;
            }
            count++;
        }
        return null;
    }

    /** Records bytes that were received of a body. */
    public synchronized void onReceived(Reservation reservation, int bytes) {
        reservation.mReceivedBytes += bytes;
    }

    /** Records that a body was received completely; it keeps its room until it is released. */
    public synchronized void onComplete(Reservation reservation) {
        mSmall.remove(reservation);
        mLarge.remove(reservation);
    }

    /** Returns the room of a body; has no effect if that was done before. */
    public synchronized void release(Reservation reservation) {
        if (reservation.mIsReleased) {
            return;
        }
        reservation.mIsReleased = true;
        mSmall.remove(reservation);
        mLarge.remove(reservation);
        mReservedBytes -= reservation.mReservedBytes;
        mLargeReservedBytes -= reservation.isLarge() ? reservation.mReservedBytes : 0;
    }

    /** Returns the reserved bytes. */
    public synchronized long reservedBytes() {
        return mReservedBytes;
    }
}
