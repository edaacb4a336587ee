package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * Watches the inbox of a shard: the jobs and cancellations that other daemons store when they
 * cannot reach the owner.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class InboxWatcher {
    private static final Logger LOGGER = System.getLogger(InboxWatcher.class.getName());

    /** Longest wait of one watch call, well below the longest that the platform allows. */
    private static final long WAIT_MILLIS = 10_000;

    /** Delay before the inbox is listed again after a listing has failed. */
    private static final long RETRY_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final JobRequestHandler mRequestHandler;
    private final BooleanSupplier mIsShardLost;

    InboxWatcher(
            ShardContext context,
            ShardState state,
            JobRequestHandler requestHandler,
            BooleanSupplier isShardLost) {
        mContext = context;
        mState = state;
        mRequestHandler = requestHandler;
        mIsShardLost = isShardLost;
    }

    /** Starts to watch for changes after a revision of the store. */
    void start(long revision) {
        watch(revision);
    }

    private void watch(long revision) {
        if (mIsShardLost.getAsBoolean()) {
            return;
        }
        String prefix = JobKeys.inbox(mState.mPool);
        mContext.executor()
                .onComplete(
                        mContext.store().watch(prefix, revision, WAIT_MILLIS),
                        (range, cause) -> {
                            if (cause != null) {
                                list();
                            } else {
                                apply(range);
                                watch(Math.max(revision, range.revision()));
                            }
                        });
    }

    /** Lists the whole inbox after a watch call has failed, since changes may have been missed. */
    private void list() {
        if (mIsShardLost.getAsBoolean()) {
            return;
        }
        Future<SharedStore.Range> range = mContext.store().list(JobKeys.inbox(mState.mPool), false);
        mContext.executor()
                .onComplete(
                        range,
                        (result, cause) -> {
                            if (cause != null) {
                                mContext.executor().schedule(RETRY_MILLIS, this::list);
                            } else {
                                apply(result);
                                watch(result.revision());
                            }
                        });
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
