package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredMinions;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * Loads the state of a shard from the shared store.
 *
 * <p>A record that cannot be read is left unchanged and named in the log; the other records are
 * used.
 *
 * <p>This class has no state and is thread-safe.
 */
final class ShardLoader {
    private static final Logger LOGGER = System.getLogger(ShardLoader.class.getName());

    private ShardLoader() {}

    /**
     * Loads the stored state of a shard.
     *
     * @param store the shared store, not null
     * @param pool the shard's pool, not null
     */
    static Future<LoadedShard> load(SharedStore store, String pool) {
        Future<SharedStore.Range> inbox = store.list(JobKeys.inbox(pool), false);
        Future<SharedStore.Range> jobs = store.list(JobKeys.jobs(pool), false);
        Future<SharedStore.Range> progress = store.list(JobKeys.progress(pool), false);
        Future<VersionedValue> minions = store.read(JobKeys.minions(pool));
        Future<VersionedValue> queues = store.read(JobKeys.POOL_QUEUES_PREFIX + pool);
        Future<VersionedValue> inboxMark = store.read(JobKeys.INBOX_PREFIX + pool);
        return Future.all(inbox, jobs, progress, minions, queues, inboxMark)
                .map(
                        ignored ->
                                new LoadedShard(
                                        inbox.result(),
                                        jobs.result().entries(),
                                        progress.result().entries(),
                                        minions.result(),
                                        queues.result(),
                                        inboxMark.result()));
    }

    /**
     * Returns the value of a stored record, empty if it does not exist or cannot be read.
     *
     * @param item the record, not null
     * @param type the value's class, not null
     * @param <T> the value's type
     */
    static <T> Optional<T> decode(VersionedValue item, Class<T> type) {
        return decode(item, present -> RecordCodec.decode(present.key(), present.value(), type));
    }

    private static <T> Optional<T> decode(
            VersionedValue item, Function<VersionedValue, T> decoder) {
        if (!item.isPresent()) {
            return Optional.empty();
        }
        try {
            return Optional.of(decoder.apply(item));
        } catch (EndivetrayException e) {
            LOGGER.log(Level.ERROR, "state: ignored unreadable record key={0} {1}", item.key(), e);
            return Optional.empty();
        }
    }

    /**
     * Returns the job in a stored record, empty if it does not exist or cannot be read.
     *
     * @param item the record, not null
     * @param prefix start of the key, before the job's id, not null
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    static Optional<JobEntry> decodeJob(VersionedValue item, String prefix, long nowNanos) {
        return decode(item, StoredJob::decode)
                .map(
                        stored ->
                                new JobEntry(
                                        item.key().substring(prefix.length()),
                                        stored,
                                        item.value().length,
                                        nowNanos));
    }

    /**
     * The stored records of a shard.
     *
     * @param inbox jobs and cancellations that other daemons have stored for the owner, not null
     * @param jobs jobs that owners have accepted, not null
     * @param progress the jobs' progress, not null
     * @param minions the minions that may hold runs, not null
     * @param queues the names of the queues that have jobs, not null
     * @param inboxMark the mark of an inbox that may have jobs which no owner has read, not null
     */
    record LoadedShard(
            SharedStore.Range inbox,
            List<VersionedValue> jobs,
            List<VersionedValue> progress,
            VersionedValue minions,
            VersionedValue queues,
            VersionedValue inboxMark) {
        /** Adds the records to the state of a shard. */
        void restoreTo(ShardState state, long nowNanos) {
            Map<String, JobEntry> entries = new LinkedHashMap<>();
            String prefix = JobKeys.jobs(state.mPool);
            jobs.forEach(
                    item ->
                            decodeJob(item, prefix, nowNanos)
                                    .ifPresent(entry -> entries.put(entry.mId, entry)));
            String inboxJobPrefix = JobKeys.inboxJobs(state.mPool);
            String cancellationPrefix = JobKeys.inboxCancellations(state.mPool);
            for (VersionedValue item : inbox.entries()) {
                if (item.key().startsWith(inboxJobPrefix)) {
                    decodeJob(item, inboxJobPrefix, nowNanos)
                            .ifPresent(entry -> entries.putIfAbsent(entry.mId, entry));
                } else if (item.key().startsWith(cancellationPrefix)) {
                    state.mEarlyCancellations.add(
                            item.key().substring(cancellationPrefix.length()));
                }
            }
            String progressPrefix = JobKeys.progress(state.mPool);
            Map<String, List<VersionedValue>> records = new HashMap<>();
            for (VersionedValue item : progress) {
                String name = item.key().substring(progressPrefix.length());
                records.computeIfAbsent(JobKeys.jobOfProgress(name), id -> new ArrayList<>())
                        .add(item);
            }
            records.forEach(
                    (id, items) -> {
                        if (entries.containsKey(id)) {
                            ProgressLoader.restore(entries.get(id), state.mPool, items);
                        }
                    });
            for (JobEntry entry : entries.values()) {
                entry.mIsInherited = true;
                state.add(entry);
            }
            decode(minions, StoredMinions::decode)
                    .ifPresent(stored -> state.addInheritedMinions(stored, nowNanos));
        }
    }
}
