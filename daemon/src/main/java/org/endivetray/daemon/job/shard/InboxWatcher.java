package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * Watches for jobs and cancellations that other daemons store in the owner's place.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class InboxWatcher {
    private static final Logger LOGGER = System.getLogger(InboxWatcher.class.getName());

    /** Longest wait of one watch. Half of the platform's longest. */
    private static final long WAIT_MILLIS = 10_000;

    /** Time after which a state that cannot be watched is read again. */
    private static final long RETRY_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final JobRequestHandler mDesk;
    private final BooleanSupplier mIsOver;

    InboxWatcher(
            ShardContext context,
            ShardState state,
            JobRequestHandler desk,
            BooleanSupplier isOver) {
        mContext = context;
        mState = state;
        mDesk = desk;
        mIsOver = isOver;
    }

    void start(long revision) {
        watch(revision);
    }

    private void watch(long revision) {
        if (mIsOver.getAsBoolean()) {
            return;
        }
        String prefix = JobKeys.inbox(mState.mPool);
        mContext.calls()
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

    /** Reads the whole state after a watch was lost, since changes may have been missed. */
    private void list() {
        if (mIsOver.getAsBoolean()) {
            return;
        }
        Future<SharedStore.Range> range = mContext.store().list(JobKeys.inbox(mState.mPool), false);
        mContext.calls()
                .onComplete(
                        range,
                        (result, cause) -> {
                            if (cause != null) {
                                mContext.calls().schedule(RETRY_MILLIS, this::list);
                            } else {
                                apply(result);
                                watch(result.revision());
                            }
                        });
    }

    private void apply(SharedStore.Range range) {
        if (mIsOver.getAsBoolean()) {
            return;
        }
        String jobs = JobKeys.inboxJobs(mState.mPool);
        String cancels = JobKeys.inboxCancellations(mState.mPool);
        for (VersionedValue item : range.entries()) {
            if (!item.isPresent()) {
                continue;
            }
            if (item.key().startsWith(jobs)) {
                LOGGER.log(Level.INFO, "job: found stored by another daemon key={0}", item.key());
                ShardLoader.decodeJob(item, jobs, mContext.calls().nanoTime())
                        .ifPresent(mDesk::onInboxJob);
            } else if (item.key().startsWith(cancels)) {
                mDesk.onInboxCancellation(item.key().substring(cancels.length()));
            }
        }
    }
}
