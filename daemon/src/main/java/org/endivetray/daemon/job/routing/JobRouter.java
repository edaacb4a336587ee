package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.peer.PeerClient;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccount;
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
import org.endivetray.wire.gen.JobRequest;

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
    private static final byte[] NO_BODY = new byte[0];

    private final Supplier<SiteConfig> mConfig;
    private final Supplier<OwnershipView> mView;
    private final LocalShards mLocal;
    private final PeerClient mPeers;
    private final StoreFallback mFallback;
    private final JobFinder mFinder;
    private final JobMetrics mMetrics;
    private final KeyRejections mRejections;
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
        mFinder = new JobFinder(config, view, mFallback, this::ask);
        mIsIsolated = isIsolated;
        mMetrics = metrics;
        mRejections = new KeyRejections(metrics);
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
    public QueueLookup queueAt(String host, String path, String key) {
        SiteConfig config = mConfig.get();
        if (config == null) {
            return QueueLookup.notConfigured();
        }
        QueueConfig queue = config.queueAt(host, path).orElse(null);
        if (queue == null) {
            return QueueLookup.noQueue();
        }
        Optional<String> account = config.accounts().admit(queue.name(), key);
        if (account.isEmpty()) {
            mRejections.onRejected(
                    queue.name(), !key.isEmpty(), config.version(), System.nanoTime());
        }
        return QueueLookup.of(queue, account);
    }

    @Override
    public Future<JobAnswer> submit(QueueConfig queue, String account, String id, byte[] body) {
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
        long start = System.nanoTime();
        return ask(JobMessages.request(JobAction.SUBMIT, queue, account, id, body))
                .compose(reply -> reply.orElse(() -> mFallback.submit(queue, account, id, spec)))
                .onSuccess(answer -> log(JobAction.SUBMIT, queue, id, answer, start));
    }

    @Override
    public Future<JobAnswer> state(QueueConfig queue, String id) {
        return find(JobAction.STATE, queue, id);
    }

    @Override
    public Future<JobAnswer> cancel(QueueConfig queue, String id) {
        return find(JobAction.CANCEL, queue, id);
    }

    @Override
    public Future<JobAnswer> pending(QueueConfig queue) {
        long start = System.nanoTime();
        List<Future<OwnerReply>> replies =
                Stream.concat(
                                Stream.of(queue.pool()),
                                mView.get().otherPoolsOf(queue.name(), queue.pool()).stream())
                        .map(pool -> ask(JobAction.PENDING, queue.withPool(pool), ""))
                        .toList();
        return Future.all(replies)
                .map(ignored -> sumOfPending(queue, replies))
                .onSuccess(answer -> log(JobAction.PENDING, queue, "", answer, start));
    }

    /** Adds the counts of the pools in which a queue has jobs; one that is missing is not known. */
    private JobAnswer sumOfPending(QueueConfig queue, List<Future<OwnerReply>> replies) {
        int sum = 0;
        for (Future<OwnerReply> reply : replies) {
            JobAnswer answer = reply.result().answer();
            if (answer == null || answer.pending() < 0) {
                return answer == null ? lastPending(queue) : answer;
            }
            sum += answer.pending();
        }
        // A count that was recorded before is not renewed.
        mPendingCounts.put(queue.name(), sum, System.nanoTime());
        return JobAnswer.ofPending(sum);
    }

    private JobAnswer lastPending(QueueConfig queue) {
        OptionalInt last = mPendingCounts.recent(queue.name(), System.nanoTime());
        return last.isPresent()
                ? JobAnswer.ofPending(last.getAsInt())
                : JobAnswer.refused(RETRY_AFTER_MILLIS, "the owner does not answer");
    }

    private Future<JobAnswer> find(JobAction action, QueueConfig queue, String id) {
        long start = System.nanoTime();
        return mFinder.find(action, queue, id)
                .onSuccess(answer -> log(action, queue, id, answer, start));
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

    /** Passes a request without a body to the owner of the pool that the queue names. */
    private Future<OwnerReply> ask(JobAction action, QueueConfig queue, String id) {
        return ask(JobMessages.request(action, queue, ClientAccount.NONE, id, NO_BODY));
    }

    private Future<OwnerReply> ask(JobRequest request) {
        OwnershipView.DaemonRecord owner = mView.get().ownerOf(request.getPoolName()).orElse(null);
        if (owner == null || owner.name().equals(mName)) {
            return mLocal.handle(request).map(OwnerReply::ofReply);
        }
        return mPeers.send(owner, Body.jobRequest(request), OWNER_TIMEOUT_MILLIS)
                .map(reply -> OwnerReply.ofReply(reply.getJobReply()))
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
}
