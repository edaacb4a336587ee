package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.endivetray.daemon.job.ErrorBoundary;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.PoolLoad;

/**
 * Schedules the jobs of one pool on the daemon that owns the pool's shard.
 *
 * <p>The owner first loads the stored state and then requests a listing from each minion that may
 * run tasks of an earlier owner. A task of a loaded job is started only after each of these minions
 * has answered or its lease has expired.
 *
 * <p>Invariants: every order carries the fencing token and every write requires it; nothing is
 * ordered or written after the shard has been lost.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class Shard {
    private static final Logger LOGGER = System.getLogger(Shard.class.getName());

    /** Time after which tasks are dispatched again although no change is known. */
    private static final long DISPATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Longest wait for the minions that may run tasks of an earlier owner, before tasks are
     * dispatched. This is several round trips; tasks that may run on a minion that has not answered
     * by then are not started.
     */
    private static final long ADOPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final long RELOAD_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long PURGE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Added to the latest end of an earlier owner's leases to cover the delivery of its orders. */
    private static final long LEASE_MARGIN_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final BatchWriter mWriter;
    private final TaskLifecycle mLifecycle;
    private final ErrorBoundary mBoundary;
    private final MinionRecord mMinionRecord;
    private final QueueRecord mQueueRecord;
    private final MinionMonitor mMonitor;
    private final OccurrenceLoader mLoader;
    private final AccountRoom mRoom;
    private final Dispatcher mDispatcher;
    private final PoolLoadMeter mLoadMeter;
    private final CancellationCleaner mCancellations;
    private final JobRequestHandler mRequestHandler;
    private final InboxWatcher mInboxWatcher;
    private final InboxMark mInboxMark;
    private final MinionDrainer mDrainer;
    private final StallDetector mStallDetector;
    private final Consumer<Shard> mOnLost;
    private ShardPhase mPhase = ShardPhase.LOADING;
    private List<MinionInfo> mRegistrations = List.of();
    private long mLoadedNanos;
    private long mReloadAtNanos;
    private long mDispatchedNanos;
    private long mPurgedNanos;
    private boolean mIsLoading;
    private boolean mIsHandingOver;

    /**
     * Constructs a shard whose stored state has not been loaded yet.
     *
     * @param context services and limits that all shards share, not null
     * @param pool the shard's pool, not null
     * @param owner the owner's key and its version, which is the fencing token, not null
     * @param durations learnt durations of tasks, not null
     * @param onLost called once when the shard is lost, not null
     */
    public Shard(
            ShardContext context,
            String pool,
            Condition owner,
            DurationModel durations,
            Consumer<Shard> onLost) {
        mContext = context;
        mState = new ShardState(pool, owner.version(), context.memory());
        mOnLost = onLost;
        Runnable onOwnerChanged = () -> markLost("owner changed in the store");
        mWriter = new BatchWriter(context.store(), context.executor(), owner, onOwnerChanged);
        Runnable onFenced = () -> markLost("fenced: a minion has seen a later owner");
        mLifecycle = new TaskLifecycle(context, mState, mWriter, durations, onFenced);
        mMinionRecord = new MinionRecord(mState, mWriter);
        mQueueRecord = new QueueRecord(mState, mWriter);
        mMonitor = new MinionMonitor(context, mState, mWriter, mLifecycle, onFenced);
        mRoom = new AccountRoom(context, mState, owner);
        mBoundary = new ErrorBoundary(context.executor(), context.metrics(), pool);
        mDispatcher = new Dispatcher(context, mState, mLifecycle, durations, mRoom, mBoundary);
        mLoadMeter = new PoolLoadMeter(context, mState);
        mLoader = new OccurrenceLoader(mState, context.memory());
        mCancellations =
                new CancellationCleaner(
                        context, mState, owner, JobRequestHandler.PURGE_MARGIN_MILLIS);
        mRequestHandler =
                new JobRequestHandler(
                        context.executor(),
                        mState,
                        mWriter,
                        mLifecycle,
                        context.memory(),
                        mQueueRecord,
                        mCancellations,
                        new SubmissionLimit(context.executor(), mState, context.accounts()));
        mInboxWatcher =
                new InboxWatcher(
                        context, mState, mRequestHandler, owner, onOwnerChanged, this::isLost);
        mInboxMark = new InboxMark(context, pool, mInboxWatcher, mQueueRecord, owner);
        mDrainer = new MinionDrainer(context.executor(), mState, mLifecycle);
        mStallDetector = new StallDetector(mState, mLifecycle, durations);
    }

    /** Returns the shard's pool. */
    public String pool() {
        return mState.mPool;
    }

    /** Returns the fencing token. */
    public long token() {
        return mState.mToken;
    }

    /** Returns whether the shard was lost or handed over. */
    public boolean isLost() {
        return mPhase == ShardPhase.LOST;
    }

    /** Returns whether the stored state has been loaded and the shard has not been lost. */
    public boolean isLoaded() {
        return mPhase == ShardPhase.ADOPTING || mPhase == ShardPhase.ACTIVE;
    }

    /** Stops accepting changes and starting tasks, so that the shard can be handed over. */
    public void startHandover() {
        mIsHandingOver = true;
    }

    /** Returns whether the shard is being handed over. */
    public boolean isHandingOver() {
        return mIsHandingOver;
    }

    private boolean acceptsRequests() {
        return isLoaded() && !mIsHandingOver;
    }

    /** Returns whether all queued changes are stored. */
    public boolean isFlushed() {
        return mWriter.isIdle();
    }

    /**
     * Marks the shard as lost, after which nothing is ordered or written.
     *
     * @param reason why, for the log, not null
     */
    public void markLost(String reason) {
        if (mPhase == ShardPhase.LOST) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "shard: lost pool={0} token={1} reason={2}",
                pool(),
                Long.toString(token()),
                reason);
        mPhase = ShardPhase.LOST;
        mRequestHandler.onShardLost();
        mRoom.stop();
        mState.markLost();
        mOnLost.accept(this);
    }

    /** Updates the registered minions of the pool. */
    public void onRegistrations(List<MinionInfo> minions) {
        mRegistrations = minions;
        if (isLoaded()) {
            mMonitor.onRegistrations(minions);
        }
    }

    /**
     * Loads the stored state or, once it is loaded, monitors the minions, dispatches tasks and
     * writes changes to the store, each when due, also if another one of these fails.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    public void tick(long nowNanos) {
        if (mPhase == ShardPhase.LOST) {
            return;
        }
        if (mPhase == ShardPhase.LOADING) {
            load(nowNanos);
            return;
        }
        mBoundary.run("minions", () -> mMonitor.tick(nowNanos));
        mBoundary.run("minion list", () -> mMinionRecord.store(nowNanos, mIsHandingOver));
        mBoundary.run("queue names", mQueueRecord::store);
        mBoundary.run("inbox", () -> mInboxMark.tick(nowNanos));
        mBoundary.run("drains", () -> mDrainer.tick(nowNanos));
        mBoundary.run("stalls", () -> mStallDetector.tick(nowNanos));
        adopt(nowNanos);
        mBoundary.run("dispatch", () -> dispatch(nowNanos));
        mBoundary.run("purge", () -> purge(nowNanos));
        mBoundary.run("cancellations", () -> mCancellations.tick(nowNanos));
        mBoundary.run("room", () -> mRoom.tick(nowNanos));
        if (mPhase != ShardPhase.LOST) {
            mWriter.flush(nowNanos);
        }
    }

    private void dispatch(long nowNanos) {
        boolean isDue =
                mState.mNeedsDispatch || nowNanos - mDispatchedNanos >= DISPATCH_INTERVAL_NANOS;
        if (isDue) {
            mLoader.loadDue(mContext.executor().currentTimeMillis());
        }
        boolean mayStart = !mIsHandingOver && mContext.mayAct().getAsBoolean();
        if (mPhase == ShardPhase.ACTIVE && isDue && mayStart) {
            mState.mNeedsDispatch = false;
            mDispatchedNanos = nowNanos;
            mDispatcher.run(nowNanos);
            mContext.metrics().onMemoryUse(mContext.memory().current());
        }
    }

    private void purge(long nowNanos) {
        if (nowNanos - mPurgedNanos >= PURGE_INTERVAL_NANOS) {
            mPurgedNanos = nowNanos;
            mRequestHandler.purge(mContext.limits().retentionMillis());
        }
    }

    private void load(long nowNanos) {
        if (mIsLoading || nowNanos - mReloadAtNanos < 0) {
            return;
        }
        mIsLoading = true;
        mContext.executor().onComplete(ShardLoader.load(mContext.store(), pool()), this::onLoaded);
    }

    private void onLoaded(ShardLoader.LoadedShard loaded, Throwable cause) {
        mIsLoading = false;
        if (mPhase != ShardPhase.LOADING) {
            return;
        }
        long now = mContext.executor().nanoTime();
        if (cause != null) {
            LOGGER.log(Level.WARNING, "shard: load failed pool={0} reason={1}", pool(), cause);
            mReloadAtNanos = now + RELOAD_DELAY_NANOS;
            return;
        }
        long longest = mContext.limits().maxLeaseMillis();
        long bound = Math.round(longest * (1 + MinionSession.CLOCK_DRIFT)) + LEASE_MARGIN_MILLIS;
        mState.mInheritedRuns.setLeaseEnd(now + TimeUnit.MILLISECONDS.toNanos(bound));
        loaded.restoreTo(mState, now);
        mMinionRecord.onLoaded(loaded.minions().version(), now);
        mInboxMark.onLoaded(loaded.inboxMark());
        mQueueRecord.onLoaded(loaded.queues(), mContext.executor().currentTimeMillis());
        mPhase = ShardPhase.ADOPTING;
        mLoadedNanos = now;
        mPurgedNanos = now;
        LOGGER.log(
                Level.INFO,
                "shard: loaded pool={0} token={1} jobs={2} active={3} minions={4} leases={5}ms",
                pool(),
                Long.toString(token()),
                Integer.toString(mState.mJobs.size()),
                Integer.toString(mState.mActiveJobs.size()),
                mState.mMinions.keySet(),
                Long.toString(bound));
        mRequestHandler.applyEarlyCancellations();
        mRequestHandler.finishImplied();
        mInboxWatcher.start(loaded.inbox().revision());
        mRoom.start();
        mMonitor.onRegistrations(mRegistrations);
        tick(now);
    }

    private void adopt(long nowNanos) {
        if (mPhase != ShardPhase.ADOPTING) {
            return;
        }
        if (mState.mInheritedRuns.isReconciled()
                || nowNanos - mLoadedNanos >= ADOPT_TIMEOUT_NANOS) {
            mPhase = ShardPhase.ACTIVE;
            mState.mNeedsDispatch = true;
            LOGGER.log(
                    Level.INFO,
                    "shard: active pool={0} token={1} unanswered={2} closed={3}",
                    pool(),
                    Long.toString(token()),
                    mState.mInheritedRuns.openMinions(),
                    mState.mInheritedRuns.closedMinions());
        }
    }

    /**
     * Called when an incarnation of a minion was terminated by order, which ended all runs on it.
     *
     * @param minion id of the minion, not null
     * @param incarnationMillis start of the incarnation, in milliseconds since 1970
     */
    public void onMinionTerminated(String minion, long incarnationMillis) {
        if (isLoaded()) {
            mMonitor.onMinionTerminated(minion, incarnationMillis);
        }
    }

    /**
     * Submits a job.
     *
     * @param queue the queue as it is configured now, not null
     * @param account name of the client account, empty for none, not null
     * @param id id of the job, not null
     * @param spec what to run, not null
     * @return the answer; fails with {@link NotOwnerException} if the shard takes no requests
     */
    public Future<JobAnswer> submit(QueueConfig queue, String account, String id, JobSpec spec) {
        if (!acceptsRequests()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        Promise<JobAnswer> answer = Promise.promise();
        mRoom.onSubmitted(account, spec);
        mRequestHandler.submit(queue, account, id, spec, answer);
        mWriter.flush(mContext.executor().nanoTime());
        return answer.future();
    }

    /**
     * Returns the state of a job, which is a final state only once that state is stored; fails with
     * {@link NotOwnerException} if the shard is not loaded.
     */
    public Future<JobAnswer> state(String id) {
        if (!isLoaded()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        return Future.succeededFuture(mRequestHandler.state(id));
    }

    /** Cancels a job; fails with {@link NotOwnerException} if the shard takes no requests. */
    public Future<JobAnswer> cancel(String id) {
        if (!acceptsRequests()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        Promise<JobAnswer> answer = Promise.promise();
        mRequestHandler.cancel(id, answer);
        if (mPhase != ShardPhase.LOST) {
            mWriter.flush(mContext.executor().nanoTime());
        }
        return answer.future();
    }

    /**
     * Returns the number of jobs of a queue that have not been started; fails with {@link
     * NotOwnerException} if the shard is not loaded.
     */
    public Future<JobAnswer> pending(String queue) {
        if (!isLoaded()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        return Future.succeededFuture(JobAnswer.ofPending(mRequestHandler.pending(queue)));
    }

    /** Returns the load of the pool. */
    public PoolLoad poolLoad() {
        return mLoadMeter.load(mContext.executor().nanoTime());
    }

    /**
     * Requests that a minion be drained; the request expires after a short time unless it is
     * repeated.
     *
     * @param minion id of the minion, not null
     * @param isUrgent whether tasks that are not long-running are stopped too instead of being left
     *     to end
     * @return start of the minion's incarnation, in milliseconds since 1970, 0 if not reported;
     *     empty unless it is known to run nothing
     */
    public OptionalLong drain(String minion, boolean isUrgent) {
        return acceptsRequests() ? mDrainer.request(minion, isUrgent) : OptionalLong.empty();
    }
}
