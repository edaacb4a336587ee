package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.VersionedValue;

/**
 * Watches the inbox of a shard: the jobs and cancellations that other daemons store when they
 * cannot reach the owner.
 *
 * <p>Invariants: a job is accepted only once a read of the owner key has shown that this daemon
 * still owned the shard after the job was stored. Each later owner therefore loads the job as one
 * that may have been started before.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class InboxWatcher implements StoreWatch.Listener {
    private static final Logger LOGGER = System.getLogger(InboxWatcher.class.getName());

    /** Delay before the owner key is read again after a read has failed. */
    private static final long RETRY_MILLIS = 100;

    private final ShardContext mContext;
    private final ShardState mState;
    private final JobRequestHandler mRequestHandler;
    private final BooleanSupplier mIsShardLost;
    private final Condition mOwner;
    private final Runnable mOnOwnerChanged;
    private final StoreWatch mWatch;

    /** Jobs in the inbox for which the owner has not been confirmed, in the order of reading. */
    private final Set<VersionedValue> mUnconfirmedJobs = new LinkedHashSet<>();

    private boolean mIsConfirming;

    /** Revision of the store up to which the inbox has been read. */
    private long mReadRevision;

    /** Version of the last job that was stored in the inbox, 0 if none was read. */
    private long mLastJobVersion;

    InboxWatcher(
            ShardContext context,
            ShardState state,
            JobRequestHandler requestHandler,
            Condition owner,
            Runnable onOwnerChanged,
            BooleanSupplier isShardLost) {
        mOwner = owner;
        mOnOwnerChanged = onOwnerChanged;
        mContext = context;
        mState = state;
        mRequestHandler = requestHandler;
        mIsShardLost = isShardLost;
        mWatch =
                new StoreWatch(
                        context.store(),
                        context.executor(),
                        JobKeys.inbox(state.mPool),
                        context.limits().watchTiming(),
                        () -> !isShardLost.getAsBoolean(),
                        this);
    }

    /** Starts to watch for changes after a revision of the store. */
    void start(long revision) {
        mReadRevision = revision;
        mWatch.startAfter(revision);
    }

    /** Returns whether all jobs that were in the inbox at a revision have been accepted. */
    boolean hasAccepted(long revision) {
        return mReadRevision >= revision && mUnconfirmedJobs.isEmpty();
    }

    /** Returns the version of the last job that was read from the inbox, 0 if none was. */
    long lastJobVersion() {
        return mLastJobVersion;
    }

    @Override
    public void onListed(SharedStore.Range range) {
        apply(range);
    }

    @Override
    public void onChanged(SharedStore.Range range) {
        apply(range);
    }

    private void apply(SharedStore.Range range) {
        if (mIsShardLost.getAsBoolean()) {
            return;
        }
        String jobs = JobKeys.inboxJobs(mState.mPool);
        String cancellations = JobKeys.inboxCancellations(mState.mPool);
        for (VersionedValue item : range.entries()) {
            if (item.isPresent() && item.key().startsWith(jobs)) {
                mUnconfirmedJobs.add(item);
                mLastJobVersion = Math.max(mLastJobVersion, item.version());
            } else if (item.isPresent() && item.key().startsWith(cancellations)) {
                mRequestHandler.onInboxCancellation(item.key().substring(cancellations.length()));
            }
        }
        mReadRevision = Math.max(mReadRevision, range.revision());
        confirmOwner();
    }

    /** Reads the owner key and accepts the jobs that were read from the inbox before. */
    private void confirmOwner() {
        if (mIsConfirming || mUnconfirmedJobs.isEmpty() || mIsShardLost.getAsBoolean()) {
            return;
        }
        mIsConfirming = true;
        List<VersionedValue> jobs = List.copyOf(mUnconfirmedJobs);
        mContext.executor()
                .onComplete(
                        mContext.store().read(mOwner.key()),
                        (owner, cause) -> {
                            mIsConfirming = false;
                            if (cause != null) {
                                mContext.executor().schedule(RETRY_MILLIS, this::confirmOwner);
                            } else if (owner.version() == mOwner.version()) {
                                mUnconfirmedJobs.removeAll(jobs);
                                jobs.forEach(this::accept);
                                confirmOwner();
                            } else {
                                mOnOwnerChanged.run();
                            }
                        });
    }

    private void accept(VersionedValue item) {
        if (mIsShardLost.getAsBoolean()) {
            return;
        }
        LOGGER.log(Level.INFO, "job: read from inbox key={0}", item.key());
        String prefix = JobKeys.inboxJobs(mState.mPool);
        ShardLoader.decodeJob(item, prefix, mContext.executor().nanoTime())
                .ifPresent(mRequestHandler::onInboxJob);
    }
}
