package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.record.StoredLocation;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.SiteConfig;
import org.endivetray.wire.gen.JobAction;

/**
 * Passes requests for the state of a job, or for its cancellation, to the pool that has accepted
 * the job, which may be another one than the pool to which the configuration in force sends its
 * queue.
 *
 * <p>Invariants: a job whose cancellation was answered is never accepted later.
 *
 * <p>This class is immutable and thread-safe.
 */
final class JobFinder {
    private static final Logger LOGGER = System.getLogger(JobFinder.class.getName());

    private final Supplier<SiteConfig> mConfig;
    private final Supplier<OwnershipView> mView;
    private final StoreFallback mFallback;
    private final Owners mOwners;

    /** Passes requests to the owners of the pools' shards. */
    interface Owners {
        /** Returns the reply of the owner of the pool that the queue names. */
        Future<OwnerReply> ask(JobAction action, QueueConfig queue, String id);
    }

    /** A request about a job, which is passed to the pool that the queue names. */
    private record Request(JobAction action, QueueConfig queue, String id) {
        Request withPool(String pool) {
            return new Request(action, queue.withPool(pool), id);
        }
    }

    /**
     * Constructs a finder.
     *
     * @param config supplies the configuration in force or null if none is known, not null
     * @param view supplies the pools that have jobs, not null
     * @param fallback answers from the shared store, not null
     * @param owners the owners of the pools' shards, not null
     */
    JobFinder(
            Supplier<SiteConfig> config,
            Supplier<OwnershipView> view,
            StoreFallback fallback,
            Owners owners) {
        mConfig = config;
        mView = view;
        mFallback = fallback;
        mOwners = owners;
    }

    /**
     * Returns the answer to a request about a job.
     *
     * @param action {@link JobAction#STATE} or {@link JobAction#CANCEL}
     * @param queue the queue as it is configured now, not null
     * @param id id of the job, not null
     */
    Future<JobAnswer> find(JobAction action, QueueConfig queue, String id) {
        Request request = new Request(action, queue, id);
        return ask(request)
                .compose(
                        reply ->
                                reply.isAnswered()
                                        ? Future.succeededFuture(reply.answer())
                                        : findByLocation(request, reply));
    }

    private Future<OwnerReply> ask(Request request) {
        return mOwners.ask(request.action(), request.queue(), request.id());
    }

    private Future<JobAnswer> askStore(Request request) {
        return request.action() == JobAction.CANCEL
                ? mFallback.cancel(request.queue(), request.id())
                : mFallback.state(request.queue(), request.id());
    }

    private Future<JobAnswer> askPool(Request request) {
        return ask(request).compose(reply -> reply.orElse(() -> askStore(request)));
    }

    private Future<JobAnswer> findByLocation(Request request, OwnerReply reply) {
        Supplier<Future<JobAnswer>> here = () -> reply.orElse(() -> askStore(request));
        return mFallback
                .location(request.id())
                .compose(
                        location -> {
                            if (location.isEmpty()) {
                                return here.get().compose(answer -> search(request, answer));
                            }
                            return location.get().pool().equals(request.queue().pool())
                                    ? here.get()
                                    : askAt(location.get(), request);
                        })
                .otherwise(JobAnswer.unknown("the store did not answer"));
    }

    /** Passes a request to the pool that has accepted a job, if one has. */
    private Future<JobAnswer> askAt(StoredLocation location, Request request) {
        return location.equals(StoredLocation.TOMBSTONE)
                ? Future.succeededFuture(JobAnswer.noSuchJob())
                : askPool(request.withPool(location.pool()));
    }

    /**
     * Looks for a job that has no location in the pools in which a daemon of the earlier version
     * may have accepted it.
     */
    private Future<JobAnswer> search(Request request, JobAnswer answer) {
        if (answer.verdict() != Verdict.NO_SUCH_JOB) {
            return Future.succeededFuture(answer);
        }
        return mFallback
                .search(request.id(), poolsToSearch(request.queue()))
                .compose(
                        pool -> {
                            if (pool.isPresent()) {
                                return askPool(request.withPool(pool.get()));
                            }
                            return request.action() == JobAction.CANCEL
                                    ? cancelUnstored(request)
                                    : Future.succeededFuture(answer);
                        });
    }

    /**
     * Cancels a job that no pool has accepted. An owner, or another daemon, may be storing it, so
     * the caller is told that there is no such job only once it cannot be accepted any more.
     */
    private Future<JobAnswer> cancelUnstored(Request request) {
        return mFallback
                .preventAcceptance(request.queue(), request.id())
                .compose(
                        location -> {
                            LOGGER.log(
                                    Level.INFO,
                                    "front: cancelled before acceptance job={0} location={1}",
                                    request.id(),
                                    location);
                            return askAt(location, request);
                        });
    }

    /** Returns the other pools that have, or may have, jobs of a queue. */
    private List<String> poolsToSearch(QueueConfig queue) {
        OwnershipView view = mView.get();
        Set<String> pools = new TreeSet<>(view.otherPoolsOf(queue.name(), queue.pool()));
        SiteConfig config = mConfig.get();
        if (config != null) {
            config.queues().stream()
                    .map(QueueConfig::pool)
                    .filter(pool -> !view.poolQueues().containsKey(pool))
                    .forEach(pools::add);
        }
        pools.remove(queue.pool());
        return List.copyOf(pools);
    }
}
