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
final class DeputyWatch {
    private static final Logger LOGGER = System.getLogger(DeputyWatch.class.getName());

    /** Longest wait of one watch. Half of the platform's longest. */
    private static final long WAIT_MILLIS = 10_000;

    /** Time after which a state that cannot be watched is read again. */
    private static final long RETRY_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final JobDesk mDesk;
    private final BooleanSupplier mIsOver;

    DeputyWatch(ShardContext context, ShardState state, JobDesk desk, BooleanSupplier isOver) {
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
        String prefix = JobKeys.deputy(mState.mPool);
        mContext.calls()
                .then(
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
        Future<SharedStore.Range> range =
                mContext.store().list(JobKeys.deputy(mState.mPool), false);
        mContext.calls()
                .then(
                        range,
                        (result, cause) -> {
                            if (cause != null) {
                                mContext.calls().later(RETRY_MILLIS, this::list);
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
        String jobs = JobKeys.deputyJobs(mState.mPool);
        String cancels = JobKeys.deputyCancels(mState.mPool);
        for (VersionedValue item : range.entries()) {
            if (!item.isPresent()) {
                continue;
            }
            if (item.key().startsWith(jobs)) {
                LOGGER.log(Level.INFO, "job: found stored by another daemon key={0}", item.key());
                ShardLoader.job(item, jobs, mContext.calls().nanoTime())
                        .ifPresent(mDesk::onDeputyJob);
            } else if (item.key().startsWith(cancels)) {
                mDesk.onDeputyCancel(item.key().substring(cancels.length()));
            }
        }
    }
}
