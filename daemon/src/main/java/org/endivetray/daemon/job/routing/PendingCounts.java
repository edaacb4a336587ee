package org.endivetray.daemon.job.routing;

import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Holds the latest number of pending jobs that the owner of each queue's pool has reported, for the
 * short time in which it may be shown in place of an answer of the owner.
 *
 * <p>Invariants: a count is returned only until it has reached its maximum age.
 *
 * <p>This class is thread-safe.
 */
final class PendingCounts {
    /** Maximum age of a count; callers accept counts that are 2 s old on arrival. */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final Map<String, Count> mCounts = new ConcurrentHashMap<>();

    /**
     * Records a count.
     *
     * @param queue name of the queue, not null
     * @param pending number of pending jobs, 0 or more
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void put(String queue, int pending, long nowNanos) {
        mCounts.put(queue, new Count(pending, nowNanos));
    }

    /** Returns the latest count of a queue, empty if there is none or it is too old. */
    OptionalInt recent(String queue, long nowNanos) {
        Count count = mCounts.get(queue);
        return count == null || nowNanos - count.nanos() > MAX_AGE_NANOS
                ? OptionalInt.empty()
                : OptionalInt.of(count.pending());
    }

    /** A count and the time at which it was reported. */
    private record Count(int pending, long nanos) {}
}
