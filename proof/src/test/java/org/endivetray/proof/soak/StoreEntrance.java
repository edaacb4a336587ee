package org.endivetray.proof.soak;

/**
 * One daemon's way to the store, which can be cut off, slowed down or refuse calls by itself.
 *
 * <p>This class is thread-safe.
 */
final class StoreEntrance {
    private static final long MIN_LATE_MILLIS = 1_000;
    private static final long MAX_LATE_MILLIS = 6_000;

    final String mDaemon;
    volatile boolean mIsSilent;
    volatile boolean mRefuses;
    volatile long mExtraMillis;
    LoopbackServer mServer;

    StoreEntrance(String daemon) {
        mDaemon = daemon;
    }

    /** Returns the time after which a late call is carried out, drawn at random. */
    static long lateMillis() {
        return MIN_LATE_MILLIS + (long) ((MAX_LATE_MILLIS - MIN_LATE_MILLIS) * Math.random());
    }
}
