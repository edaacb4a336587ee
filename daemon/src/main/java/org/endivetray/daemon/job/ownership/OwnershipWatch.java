package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredQueues;
import org.endivetray.daemon.job.watch.StoreWatch;
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
public final class OwnershipWatch implements StoreWatch.Listener {
    private static final Logger LOGGER = System.getLogger(OwnershipWatch.class.getName());

    private final StoreWatch mWatch;
    private final Runnable mOnChange;
    private final Map<String, VersionedValue> mItems = new HashMap<>();
    private volatile OwnershipView mView = OwnershipView.EMPTY;

    /**
     * Constructs a watch that has not been started.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param timing the times of the watch, not null
     * @param onChange called after each change, not null
     */
    public OwnershipWatch(
            SharedStore store,
            SchedulerExecutor executor,
            StoreWatch.Timing timing,
            Runnable onChange) {
        mWatch = new StoreWatch(store, executor, JobKeys.LIVE_PREFIX, timing, () -> true, this);
        mOnChange = onChange;
    }

    /** Starts the watch. */
    public void start() {
        mWatch.start();
    }

    /** Returns the latest view. */
    public OwnershipView view() {
        return mView;
    }

    @Override
    public void onListed(SharedStore.Range range) {
        mItems.clear();
        range.entries().forEach(item -> mItems.put(item.key(), item));
        publish(range.revision());
    }

    @Override
    public void onChanged(SharedStore.Range range) {
        range.entries().forEach(this::apply);
        publish(Math.max(mView.revision(), range.revision()));
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
        Map<String, Set<String>> poolQueues = new HashMap<>();
        Set<String> inboxes = new HashSet<>();
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
                } else if (item.key().startsWith(JobKeys.POOL_QUEUES_PREFIX)) {
                    StoredQueues queues =
                            RecordCodec.decode(item.key(), item.value(), StoredQueues.class);
                    poolQueues.put(
                            item.key().substring(JobKeys.POOL_QUEUES_PREFIX.length()),
                            queues.queues());
                } else if (item.key().startsWith(JobKeys.INBOX_PREFIX)) {
                    inboxes.add(item.key().substring(JobKeys.INBOX_PREFIX.length()));
                }
            } catch (EndivetrayException e) {
                LOGGER.log(
                        Level.ERROR, "state: ignored unreadable record key={0} {1}", item.key(), e);
            }
        }
        mView = new OwnershipView(revision, daemons, owners, poolQueues, inboxes);
        mOnChange.run();
    }
}
