package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredLocation;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;

/**
 * Answers job requests from the shared store when the owner of the pool's shard does not answer or
 * does not know the job.
 *
 * <p>Invariants: a job is accepted only once it is stored, and refused only if the store has
 * confirmed that it is not stored.
 *
 * <p>This class is immutable and thread-safe.
 */
final class StoreFallback {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final byte[] PRESENT = {'1'};

    private final SharedStore mStore;

    StoreFallback(SharedStore store) {
        mStore = store;
    }

    /**
     * Stores a job in the inbox of the pool's owner, unless it is stored already. The inbox is
     * marked in the same commit, so that the pool gets an owner whatever the configuration says. A
     * job that is too large to be stored is refused for good, as its owner does.
     */
    Future<JobAnswer> submit(QueueConfig queue, String account, String id, JobSpec spec) {
        String key = JobKeys.inboxJobs(queue.pool()) + id;
        StoredJob stored =
                new StoredJob(queue.pool(), queue, spec, System.currentTimeMillis(), account);
        byte[] record;
        try {
            record = stored.encode();
        } catch (EndivetrayException e) {
            return Future.succeededFuture(JobAnswer.malformed(e.getMessage()));
        }
        Commit commit =
                new Commit(
                        List.of(
                                new Condition(key, SharedStore.ABSENT),
                                new Condition(JobKeys.jobs(queue.pool()) + id, SharedStore.ABSENT),
                                new Condition(JobKeys.location(id), SharedStore.ABSENT)),
                        List.of(
                                new Write(key, record, SharedStore.NO_LEASE),
                                StoredLocation.write(id, queue.pool()),
                                new Write(
                                        JobKeys.INBOX_PREFIX + queue.pool(),
                                        PRESENT,
                                        SharedStore.NO_LEASE)),
                        List.of());
        return mStore.commit(commit)
                .map(
                        result ->
                                switch (result.outcome()) {
                                    case DONE -> JobAnswer.ok();
                                    case CONFLICT ->
                                            StoredLocation.isTombstone(
                                                            result.currentOf(JobKeys.location(id)))
                                                    ? JobAnswer.cancelledBefore()
                                                    : JobAnswer.ok();
                                    case NOT_DONE, NO_SUCH_LEASE ->
                                            JobAnswer.refused(
                                                    RETRY_AFTER_MILLIS, "the store refused");
                                    case UNKNOWN -> JobAnswer.unknown("the store did not answer");
                                });
    }

    /** Returns the stored location of a job, empty if there is none. */
    Future<Optional<StoredLocation>> location(String id) {
        return mStore.read(JobKeys.location(id))
                .map(
                        item ->
                                item.isPresent()
                                        ? Optional.of(StoredLocation.decode(item))
                                        : Optional.<StoredLocation>empty());
    }

    /**
     * Keeps a job that is not stored from being accepted by any pool. The cancellation in the inbox
     * lets the owner remove the tombstone once no submission of the job can arrive any more.
     *
     * @return the location of the job: a tombstone, or the pool that has accepted it meanwhile;
     *     fails if the store does not confirm it
     */
    Future<StoredLocation> preventAcceptance(QueueConfig queue, String id) {
        String location = JobKeys.location(id);
        Commit commit =
                new Commit(
                        List.of(
                                new Condition(location, SharedStore.ABSENT),
                                new Condition(JobKeys.jobs(queue.pool()) + id, SharedStore.ABSENT),
                                new Condition(
                                        JobKeys.inboxJobs(queue.pool()) + id, SharedStore.ABSENT)),
                        List.of(
                                StoredLocation.write(id, StoredLocation.TOMBSTONE.pool()),
                                cancellation(queue, id)),
                        List.of());
        return mStore.commit(commit)
                .compose(
                        result -> {
                            VersionedValue current = result.currentOf(location);
                            return switch (result.outcome()) {
                                case DONE -> Future.succeededFuture(StoredLocation.TOMBSTONE);
                                case CONFLICT ->
                                        Future.succeededFuture(
                                                current.isPresent()
                                                        ? StoredLocation.decode(current)
                                                        : new StoredLocation(queue.pool()));
                                default -> Future.failedFuture("the store did not answer");
                            };
                        });
    }

    /**
     * Returns the pool that holds the record of a job, empty if none does; costs up to two reads a
     * pool.
     */
    Future<Optional<String>> search(String id, List<String> pools) {
        if (pools.isEmpty()) {
            return Future.succeededFuture(Optional.empty());
        }
        List<Future<Boolean>> found = pools.stream().map(pool -> exists(pool, id)).toList();
        return Future.all(found)
                .map(
                        ignored ->
                                IntStream.range(0, pools.size())
                                        .filter(i -> found.get(i).result())
                                        .mapToObj(pools::get)
                                        .findFirst());
    }

    /** Returns the stored state of a job. */
    Future<JobAnswer> state(QueueConfig queue, String id) {
        return mStore.read(JobKeys.progress(queue.pool()) + id)
                .compose(
                        progress ->
                                progress.isPresent()
                                        ? Future.succeededFuture(JobAnswer.ofState(state(progress)))
                                        : exists(queue.pool(), id)
                                                .map(
                                                        exists ->
                                                                exists
                                                                        ? JobAnswer.ofState(
                                                                                JobState.QUEUED)
                                                                        : JobAnswer.noSuchJob()))
                .otherwise(JobAnswer.unknown("the store did not answer"));
    }

    private static JobState state(VersionedValue progress) {
        return RecordCodec.decode(progress.key(), progress.value(), StoredProgress.class).state();
    }

    /** Returns whether a job is stored as accepted by an owner or in the inbox. */
    private Future<Boolean> exists(String pool, String id) {
        return mStore.read(JobKeys.jobs(pool) + id)
                .compose(
                        job ->
                                job.isPresent()
                                        ? Future.succeededFuture(true)
                                        : mStore.read(JobKeys.inboxJobs(pool) + id)
                                                .map(VersionedValue::isPresent));
    }

    /** Stores the cancellation of a job in the inbox of the pool's owner. */
    Future<JobAnswer> cancel(QueueConfig queue, String id) {
        return exists(queue.pool(), id)
                .compose(
                        exists ->
                                exists
                                        ? storeCancellation(queue, id)
                                        : Future.succeededFuture(JobAnswer.noSuchJob()))
                .otherwise(JobAnswer.unknown("the store did not answer"));
    }

    private static Write cancellation(QueueConfig queue, String id) {
        return new Write(
                JobKeys.inboxCancellations(queue.pool()) + id, PRESENT, SharedStore.NO_LEASE);
    }

    private Future<JobAnswer> storeCancellation(QueueConfig queue, String id) {
        Commit commit = new Commit(List.of(), List.of(cancellation(queue, id)), List.of());
        return mStore.commit(commit)
                .map(
                        result ->
                                result.outcome() == CommitOutcome.DONE
                                        ? JobAnswer.ok()
                                        : JobAnswer.unknown("the store did not answer"));
    }
}
