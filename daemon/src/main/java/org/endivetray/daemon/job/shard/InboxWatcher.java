package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * Watches the inbox of a shard: the jobs and cancellations that other daemons store when they
 * cannot reach the owner.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class InboxWatcher implements StoreWatch.Listener {
    private static final Logger LOGGER = System.getLogger(InboxWatcher.class.getName());

    private final ShardContext mContext;
    private final ShardState mState;
    private final JobRequestHandler mRequestHandler;
    private final BooleanSupplier mIsShardLost;
    private final StoreWatch mWatch;

    InboxWatcher(
            ShardContext context,
            ShardState state,
            JobRequestHandler requestHandler,
            BooleanSupplier isShardLost) {
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
        mWatch.startAfter(revision);
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
            if (!item.isPresent()) {
                continue;
            }
            if (item.key().startsWith(jobs)) {
                LOGGER.log(Level.INFO, "job: read from inbox key={0}", item.key());
                ShardLoader.decodeJob(item, jobs, mContext.executor().nanoTime())
                        .ifPresent(mRequestHandler::onInboxJob);
            } else if (item.key().startsWith(cancellations)) {
                mRequestHandler.onInboxCancellation(item.key().substring(cancellations.length()));
            }
        }
    }
}
