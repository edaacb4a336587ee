package org.endivetray.daemon.job.relay;

/**
 * How far this daemon reaches the shared store, as its latest calls show.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum StoreReach {
    /** The store answers this daemon or one of its peers. */
    REACHED(0),
    /**
     * Neither this daemon nor the peers that it asked reach the store; it may be down. Callers
     * usually try four more times within 3 s.
     */
    STORE_AWAY(700),
    /** Neither the store nor a peer answers; another daemon probably reaches both. */
    ISOLATED(100);

    private final long mRetryAfterMillis;

    StoreReach(long retryAfterMillis) {
        mRetryAfterMillis = retryAfterMillis;
    }

    /** Returns whether a job can probably be stored. */
    public boolean canStore() {
        return this == REACHED;
    }

    /** Returns the time after which a caller that was refused should come back, in milliseconds. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
