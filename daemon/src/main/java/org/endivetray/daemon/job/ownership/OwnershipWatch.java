package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * Watches the live daemons and the shards' owners in the shared store.
 *
 * <p>Invariants: the view never goes back to an earlier revision.
 *
 * <p>Only {@link #view} is thread-safe; the rest belongs to the scheduler's thread.
 */
public final class OwnershipWatch {
    private static final Logger LOGGER = System.getLogger(OwnershipWatch.class.getName());

    /**
     * Longest wait of one watch call, which bounds the time for which owners are not updated if the
     * connection of the call has gone silent.
     */
    private static final long WAIT_MILLIS = 4_000;

    /** Delay before the keys are listed again after a list or watch call has failed. */
    private static final long RETRY_MILLIS = 250;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final Runnable mOnChange;
    private final Map<String, VersionedValue> mItems = new HashMap<>();
    private volatile OwnershipView mView = OwnershipView.EMPTY;
    private boolean mIsStopped;

    /**
     * Constructs a watch that has not been started.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param onChange called after each change, not null
     */
    public OwnershipWatch(SharedStore store, SchedulerExecutor executor, Runnable onChange) {
        mStore = store;
        mExecutor = executor;
        mOnChange = onChange;
    }

    /** Starts the watch. */
    public void start() {
        list();
    }

    /** Stops the watch. */
    public void stop() {
        mIsStopped = true;
    }

    /** Returns the latest view. */
    public OwnershipView view() {
        return mView;
    }

    private void list() {
        if (mIsStopped) {
            return;
        }
        mExecutor.onComplete(
                mStore.list(JobKeys.LIVE_PREFIX, false),
                (range, cause) -> {
                    if (cause != null) {
                        LOGGER.log(
                                Level.INFO,
                                "state: cannot list daemons and owners reason={0}",
                                cause);
                        mExecutor.schedule(RETRY_MILLIS, this::list);
                        return;
                    }
                    mItems.clear();
                    range.entries().forEach(item -> mItems.put(item.key(), item));
                    publish(range.revision());
                    watch(range.revision());
                });
    }

    private void watch(long revision) {
        if (mIsStopped) {
            return;
        }
        mExecutor.onComplete(
                mStore.watch(JobKeys.LIVE_PREFIX, revision, WAIT_MILLIS),
                (range, cause) -> {
                    if (cause != null) {
                        mExecutor.schedule(RETRY_MILLIS, this::list);
                        return;
                    }
                    range.entries().forEach(this::apply);
                    long next = Math.max(revision, range.revision());
                    publish(next);
                    watch(next);
                });
    }

    private void apply(VersionedValue item) {
        if (item.isPresent()) {
            mItems.put(item.key(), item);
        } else {
            mItems.remove(item.key());
        }
    }

    private void publish(long revision) {
        Map<String, OwnershipView.DaemonRecord> daemons = new HashMap<>();
        Map<String, OwnershipView.ShardOwner> owners = new HashMap<>();
        for (VersionedValue item : mItems.values()) {
            try {
                if (item.key().startsWith(JobKeys.DAEMON_PREFIX)) {
                    OwnershipView.DaemonRecord daemon =
                            RecordCodec.decode(
                                    item.key(), item.value(), OwnershipView.DaemonRecord.class);
                    daemons.put(daemon.name(), daemon);
                } else if (item.key().startsWith(JobKeys.OWNER_PREFIX)) {
                    OwnershipView.OwnerRecord owner =
                            RecordCodec.decode(
                                    item.key(), item.value(), OwnershipView.OwnerRecord.class);
                    owners.put(
                            item.key().substring(JobKeys.OWNER_PREFIX.length()),
                            new OwnershipView.ShardOwner(
                                    owner.daemon(), owner.incarnation(), item.version()));
                }
            } catch (EndivetrayException e) {
                LOGGER.log(
                        Level.ERROR, "state: ignored unreadable record key={0} {1}", item.key(), e);
            }
        }
        mView = new OwnershipView(revision, daemons, owners);
        mOnChange.run();
    }
}
