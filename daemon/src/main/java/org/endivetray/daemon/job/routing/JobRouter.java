package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.peer.PeerClient;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobSpec;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.SiteConfig;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.site.JobService;
import org.endivetray.platform.site.SiteCodec;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.JobAction;
import org.endivetray.wire.gen.JobReply;
import org.endivetray.wire.gen.JobRequest;
import org.endivetray.wire.gen.JobVerdict;

/**
 * Routes callers' requests to the owner of the pool's shard, and falls back to the shared store if
 * the owner does not answer or does not know the job.
 *
 * <p>Invariants: a request that may have reached an owner that did not answer is never refused.
 *
 * <p>This class is thread-safe.
 */
public final class JobRouter implements JobService {
    private static final Logger LOGGER = System.getLogger(JobRouter.class.getName());

    /** Time limit of a request to an owner, a third of the callers' usual timeout. */
    private static final long OWNER_TIMEOUT_MILLIS = 900;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<SiteConfig> mConfig;
    private final Supplier<OwnershipView> mView;
    private final LocalShards mLocal;
    private final PeerClient mPeers;
    private final StoreFallback mFallback;
    private final JobMetrics mMetrics;
    private final String mName;
    private final PendingCounts mPendingCounts = new PendingCounts();
    private final BooleanSupplier mIsIsolated;
    private volatile boolean mIsReady;
    private volatile boolean mIsStopping;

    /**
     * Constructs a router.
     *
     * @param name this daemon's name, not null
     * @param config supplies the configuration in force or null if none is known, not null
     * @param view supplies the live daemons and the shards' owners, not null
     * @param local the shards that this daemon owns, not null
     * @param peers the other daemons, not null
     * @param store the shared store, not null
     * @param isIsolated returns whether neither the store nor the peers answer, not null
     * @param metrics counters and histograms, not null
     */
    public JobRouter(
            String name,
            Supplier<SiteConfig> config,
            Supplier<OwnershipView> view,
            LocalShards local,
            PeerClient peers,
            SharedStore store,
            BooleanSupplier isIsolated,
            JobMetrics metrics) {
        mName = name;
        mConfig = config;
        mView = view;
        mLocal = local;
        mPeers = peers;
        mFallback = new StoreFallback(store);
        mIsIsolated = isIsolated;
        mMetrics = metrics;
    }

    /** Sets whether this daemon can serve new connections. */
    public void setReady(boolean isReady) {
        if (mIsReady != isReady) {
            LOGGER.log(Level.INFO, "front: ready={0}", isReady);
        }
        mIsReady = isReady;
    }

    /** Marks this daemon as stopping, so that it no longer reports itself as ready. */
    public void markStopping() {
        mIsStopping = true;
    }

    @Override
    public boolean isReady() {
        return mIsReady && !mIsStopping && !mIsIsolated.getAsBoolean();
    }

    @Override
    public boolean isStopping() {
        return mIsStopping;
    }

    @Override
    public QueueLookup queueAt(String host, String path) {
        SiteConfig config = mConfig.get();
        return config == null
                ? new QueueLookup(false, null)
                : new QueueLookup(true, config.queueAt(host, path).orElse(null));
    }

    @Override
    public Future<JobAnswer> submit(QueueConfig queue, String id, byte[] body) {
        JobSpec spec;
        try {
            spec = SiteCodec.decodeJob(body);
        } catch (EndivetrayException e) {
            LOGGER.log(
                    Level.INFO,
                    "front: malformed submission job={0} reason={1}",
                    id,
                    e.getMessage());
            return Future.succeededFuture(JobAnswer.malformed(e.getMessage()));
        }
        if (mIsIsolated.getAsBoolean() && !mLocal.owns(queue.pool())) {
            // An earlier attempt may have been accepted elsewhere, so this is not a refusal.
            LOGGER.log(Level.INFO, "front: submit not tried job={0} reason=isolated", id);
            return Future.succeededFuture(
                    JobAnswer.unknown("neither the store nor another daemon answers"));
        }
        return route(JobAction.SUBMIT, queue, id, body, () -> mFallback.submit(queue, id, spec));
    }

    @Override
    public Future<JobAnswer> state(QueueConfig queue, String id) {
        return route(JobAction.STATE, queue, id, new byte[0], () -> mFallback.state(queue, id));
    }

    @Override
    public Future<JobAnswer> cancel(QueueConfig queue, String id) {
        return route(JobAction.CANCEL, queue, id, new byte[0], () -> mFallback.cancel(queue, id));
    }

    @Override
    public Future<JobAnswer> pending(QueueConfig queue) {
        return route(JobAction.PENDING, queue, "", new byte[0], () -> lastPending(queue));
    }

    /** Records the count in an owner's reply; a count that was recorded before is not renewed. */
    private void recordPending(QueueConfig queue, OwnerReply ownerReply) {
        if (ownerReply.answer() != null && ownerReply.answer().pending() >= 0) {
            mPendingCounts.put(queue.name(), ownerReply.answer().pending(), System.nanoTime());
        }
    }

    private Future<JobAnswer> lastPending(QueueConfig queue) {
        OptionalInt last = mPendingCounts.recent(queue.name(), System.nanoTime());
        return Future.succeededFuture(
                last.isPresent()
                        ? JobAnswer.ofPending(last.getAsInt())
                        : JobAnswer.refused(RETRY_AFTER_MILLIS, "the owner does not answer"));
    }

    private Future<JobAnswer> route(
            JobAction action,
            QueueConfig queue,
            String id,
            byte[] body,
            Supplier<Future<JobAnswer>> fallback) {
        long start = System.nanoTime();
        JobRequest request = JobMessages.request(action, queue, id, body, true);
        return askOwner(request)
                .onSuccess(ownerReply -> recordPending(queue, ownerReply))
                .compose(ownerReply -> complete(action, ownerReply, fallback))
                .onSuccess(answer -> log(action, queue, id, answer, start));
    }

    /** Falls back to the store if the owner gave no answer or does not know the job. */
    private Future<JobAnswer> complete(
            JobAction action, OwnerReply ownerReply, Supplier<Future<JobAnswer>> fallback) {
        boolean isUnknownJob =
                ownerReply.answer() != null && ownerReply.answer().verdict() == Verdict.NO_SUCH_JOB;
        if (ownerReply.answer() != null && !isUnknownJob) {
            return Future.succeededFuture(ownerReply.answer());
        }
        return fallback.get()
                .map(
                        answer ->
                                ownerReply.mayHaveReached() && answer.verdict() == Verdict.REFUSED
                                        ? JobAnswer.unknown(answer.reason())
                                        : answer);
    }

    private void log(
            JobAction action, QueueConfig queue, String id, JobAnswer answer, long startNanos) {
        long nanos = System.nanoTime() - startNanos;
        mMetrics.onAnswer(action.name(), answer.verdict().name(), nanos);
        if (action == JobAction.SUBMIT
                || action == JobAction.CANCEL
                || answer.verdict() != Verdict.OK) {
            LOGGER.log(
                    Level.INFO,
                    "front: {0} job={1} queue={2} verdict={3} micros={4} reason={5}",
                    action.name().toLowerCase(Locale.ROOT),
                    id,
                    queue.name(),
                    answer.verdict(),
                    Long.toString(nanos / 1_000),
                    answer.reason());
        }
    }

    private Future<OwnerReply> askOwner(JobRequest request) {
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(request.getPoolName()).orElse(null);
        if (owner == null || owner.name().equals(mName)) {
            return mLocal.handle(request).map(OwnerReply::ofReply);
        }
        return mPeers.send(owner, Body.jobRequest(request), OWNER_TIMEOUT_MILLIS)
                .map(body -> OwnerReply.ofReply(body.getJobReply()))
                .otherwise(new OwnerReply(null, true));
    }

    /**
     * Answers a request from another daemon, or forwards it once if a third daemon owns the shard.
     *
     * @param request the request, not null
     */
    public Future<Body> onRequest(JobRequest request) {
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(request.getPoolName()).orElse(null);
        boolean isLocal = owner == null || owner.name().equals(mName) || !request.isMayForward();
        if (isLocal || mLocal.owns(request.getPoolName())) {
            return mLocal.handle(request).map(Body::jobReply);
        }
        JobRequest forwarded = request.deepCopy().setMayForward(false);
        return mPeers.send(owner, Body.jobRequest(forwarded), OWNER_TIMEOUT_MILLIS);
    }

    /**
     * The reply of an owner.
     *
     * @param answer the answer, null if there was none
     * @param mayHaveReached whether the owner may have carried the request out although there is no
     *     answer
     */
    private record OwnerReply(JobAnswer answer, boolean mayHaveReached) {
        static OwnerReply ofReply(JobReply reply) {
            return reply.getVerdict() == JobVerdict.NOT_OWNER
                    ? new OwnerReply(null, false)
                    : new OwnerReply(JobMessages.answer(reply), false);
        }
    }
}
