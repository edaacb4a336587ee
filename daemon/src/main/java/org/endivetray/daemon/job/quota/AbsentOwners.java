package org.endivetray.daemon.job.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.SharedStore;

/**
 * Finds pools that hold room of an account and have had no owner for so long that none of their
 * runs can exist, such as pools that were removed from the configuration.
 *
 * <p>Invariants: a pool counts as absent only if each check of that time, the latest of which is
 * recent, has looked for it and found no owner. An ownership between two checks is not seen.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class AbsentOwners {
    /** Interval of the checks, less than the lease under which an owner's key exists. */
    private static final long CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Longest time between two checks that leaves no room for a whole lease of an owner. */
    private static final long MAX_GAP_NANOS = 2 * CHECK_NANOS;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final long mAbsenceNanos;
    private final Map<String, Long> mAbsentSince = new HashMap<>();
    private long mCheckedNanos;
    private long mNextCheckNanos;
    private boolean mIsChecking;

    AbsentOwners(SharedStore store, SchedulerExecutor executor, long absenceMillis) {
        mStore = store;
        mExecutor = executor;
        mAbsenceNanos = TimeUnit.MILLISECONDS.toNanos(absenceMillis);
        mNextCheckNanos = executor.nanoTime();
    }

    /** Returns whether a check is due. */
    boolean isDue(long nowNanos) {
        return !mIsChecking && nowNanos - mNextCheckNanos >= 0;
    }

    /**
     * Checks whether pools that hold room have owners.
     *
     * @param pools the pools that other daemons may own, not null
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void check(Set<String> pools, long nowNanos) {
        mNextCheckNanos = nowNanos + CHECK_NANOS;
        if (pools.isEmpty()) {
            mAbsentSince.clear();
            return;
        }
        mIsChecking = true;
        mExecutor.onComplete(
                mStore.list(JobKeys.OWNER_PREFIX, false),
                (range, cause) -> {
                    mIsChecking = false;
                    if (cause == null) {
                        onOwners(pools, range, nowNanos);
                    }
                });
    }

    private void onOwners(Set<String> pools, SharedStore.Range owners, long askedNanos) {
        Set<String> present =
                owners.entries().stream()
                        .map(item -> item.key().substring(JobKeys.OWNER_PREFIX.length()))
                        .collect(Collectors.toSet());
        // After a gap in the checks a pool may have had an owner meanwhile.
        if (askedNanos - mCheckedNanos > MAX_GAP_NANOS) {
            mAbsentSince.clear();
        }
        mCheckedNanos = askedNanos;
        mAbsentSince.keySet().retainAll(pools);
        mAbsentSince.keySet().removeAll(present);
        for (String pool : pools) {
            if (!present.contains(pool)) {
                mAbsentSince.putIfAbsent(pool, mExecutor.nanoTime());
            }
        }
    }

    /** Forgets a pool that this daemon has claimed or released. */
    void forget(String pool) {
        mAbsentSince.remove(pool);
    }

    /** Returns the pools without an owner, none after a gap in the checks. */
    Set<String> absent(long nowNanos) {
        if (nowNanos - mCheckedNanos > MAX_GAP_NANOS) {
            return Set.of();
        }
        return mAbsentSince.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= mAbsenceNanos)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
