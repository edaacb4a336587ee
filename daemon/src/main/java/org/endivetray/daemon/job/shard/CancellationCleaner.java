package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredLocation;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.VersionedValue;

/**
 * Removes the cancellations in the inbox, and the tombstones that were written with them, once no
 * submission of their jobs can arrive any more.
 *
 * <p>Invariants: a cancellation is kept while its job is; a tombstone is removed only in the
 * version that was read, and the location of an accepted job never is.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class CancellationCleaner {
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final ShardContext mContext;
    private final ShardState mState;
    private final Condition mOwner;
    private final long mRetentionNanos;
    private final PriorityQueue<Entry> mQueue = new PriorityQueue<>();
    private final Set<String> mIds = new HashSet<>();
    private boolean mIsCalling;

    /**
     * Constructs a cleaner without cancellations.
     *
     * @param context services and limits that all shards share, not null
     * @param state the shard's jobs, not null
     * @param owner the owner's key and its version, not null
     * @param marginMillis time for which a cancellation is kept beyond the retention time of jobs,
     *     in milliseconds
     */
    CancellationCleaner(
            ShardContext context, ShardState state, Condition owner, long marginMillis) {
        mContext = context;
        mState = state;
        mOwner = owner;
        mRetentionNanos =
                TimeUnit.MILLISECONDS.toNanos(context.limits().retentionMillis() + marginMillis);
    }

    /** Adds a job whose cancellation was read from the inbox. */
    void add(String job) {
        if (mIds.add(job)) {
            mQueue.add(new Entry(mContext.executor().nanoTime() + mRetentionNanos, job));
        }
    }

    /** Removes the records of a cancellation if one is due. */
    void tick(long nowNanos) {
        if (mIsCalling || mQueue.isEmpty() || mQueue.peek().dueNanos() - nowNanos > 0) {
            return;
        }
        String job = mQueue.poll().job();
        if (mState.mJobs.containsKey(job)) {
            retryLater(job);
            return;
        }
        mIsCalling = true;
        mContext.executor()
                .onComplete(
                        mContext.store().read(JobKeys.location(job)),
                        (location, cause) -> {
                            mIsCalling = false;
                            if (cause == null && !mState.mJobs.containsKey(job)) {
                                remove(job, location);
                            } else {
                                retryLater(job);
                            }
                        });
    }

    private void retryLater(String job) {
        mQueue.add(new Entry(mContext.executor().nanoTime() + RETRY_NANOS, job));
    }

    private void remove(String job, VersionedValue location) {
        List<String> keys = new ArrayList<>();
        keys.add(JobKeys.inboxCancellations(mState.mPool) + job);
        if (StoredLocation.isTombstone(location)) {
            keys.add(location.key());
        }
        Commit commit =
                new Commit(
                        List.of(mOwner, new Condition(location.key(), location.version())),
                        List.of(),
                        keys);
        mIsCalling = true;
        mContext.executor()
                .onComplete(
                        mContext.store().commit(commit), (result, cause) -> onResult(job, result));
    }

    private void onResult(String job, CommitResult result) {
        mIsCalling = false;
        if (result.isDone()) {
            mIds.remove(job);
            mState.mEarlyCancellations.remove(job);
        } else {
            retryLater(job);
        }
    }

    /** A job with the time at which its cancellation may be removed. */
    private record Entry(long dueNanos, String job) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return Long.compare(dueNanos - other.dueNanos, 0);
        }
    }
}
