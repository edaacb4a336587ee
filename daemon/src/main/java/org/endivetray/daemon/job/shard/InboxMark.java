package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.VersionedValue;

/**
 * Removes the mark of a pool's inbox, by which all daemons know that the pool needs an owner, once
 * its owner has accepted the jobs in the inbox.
 *
 * <p>The mark is written in the commit of each job in the inbox, so its version is that of the last
 * one.
 *
 * <p>Invariants: the mark is removed only in a version up to which the inbox was read, and only
 * when the queues of all jobs that were read are recorded, by which the pool keeps its owner from
 * then on.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class InboxMark {
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ShardContext mContext;
    private final InboxWatcher mInbox;
    private final QueueRecord mQueues;
    private final Condition mOwner;
    private final String mKey;

    /** Last known version of the mark, {@link SharedStore#ABSENT} if there is none. */
    private long mVersion;

    /** Version of the last job in the inbox whose mark has been taken into account. */
    private long mSeenJobVersion;

    private boolean mIsCalling;
    private long mRetryAtNanos;

    InboxMark(
            ShardContext context,
            String pool,
            InboxWatcher inbox,
            QueueRecord queues,
            Condition owner) {
        mContext = context;
        mInbox = inbox;
        mQueues = queues;
        mOwner = owner;
        mKey = JobKeys.INBOX_PREFIX + pool;
        mRetryAtNanos = context.executor().nanoTime();
    }

    /** Takes over the stored mark. */
    void onLoaded(VersionedValue mark) {
        mVersion = mark.version();
    }

    /** Removes the mark if there is one and it is no longer needed. */
    void tick(long nowNanos) {
        if (mInbox.lastJobVersion() > mSeenJobVersion) {
            mSeenJobVersion = mInbox.lastJobVersion();
            mVersion = Math.max(mVersion, mSeenJobVersion);
        }
        if (mVersion == SharedStore.ABSENT
                || mIsCalling
                || nowNanos - mRetryAtNanos < 0
                || !mInbox.hasAccepted(mVersion)
                || !mQueues.isStored()) {
            return;
        }
        mIsCalling = true;
        Commit commit =
                new Commit(
                        List.of(mOwner, new Condition(mKey, mVersion)), List.of(), List.of(mKey));
        mContext.executor()
                .onComplete(mContext.store().commit(commit), (result, cause) -> onResult(result));
    }

    private void onResult(CommitResult result) {
        mIsCalling = false;
        mRetryAtNanos = mContext.executor().nanoTime() + RETRY_NANOS;
        if (result.isDone()) {
            mVersion = SharedStore.ABSENT;
        } else if (result.outcome() == CommitOutcome.CONFLICT) {
            mVersion = result.currentOf(mKey).version();
        }
    }
}
