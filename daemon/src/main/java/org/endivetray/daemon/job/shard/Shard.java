package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredMinions;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.PoolLoad;

/**
 * The jobs of one pool, as scheduled by their owner.
 *
 * <p>The owner first reads what is stored, then asks each minion that may run tasks of an earlier
 * owner, and only then starts anything of the jobs that it found.
 *
 * <p>Invariants: every order and every write carries the token under which the shard is owned;
 * nothing is done after the shard has been lost.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class Shard {
    private static final Logger LOGGER = System.getLogger(Shard.class.getName());

    /** Time after which a start pass is due although nothing is known to have changed. */
    private static final long DISPATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time that minions have to answer before others' jobs are started. One listing's limit. */
    private static final long ADOPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final long RELOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long PURGE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double CLOCK_DRIFT = 0.02;
    private static final long LEASE_MARGIN_MILLIS = 300;

    private final ShardContext mContext;
    private final ShardState mState;
    private final BatchWriter mJournal;
    private final TaskLifecycle mFlow;
    private final MinionMonitor mHolds;
    private final Dispatcher mDispatcher;
    private final JobRequestHandler mDesk;
    private final InboxWatcher mDeputies;
    private final MinionDrainer mDrains;
    private final StallDetector mStalls;
    private final Consumer<Shard> mOnLost;
    private Phase mPhase = Phase.LOADING;
    private List<MinionInfo> mRegistrations = List.of();
    private long mMinionsVersion;
    private Set<String> mRecorded = Set.of();
    private boolean mIsRecording;
    private long mLoadedNanos;
    private long mReloadAtNanos;
    private long mDispatchedNanos;
    private long mPurgedNanos;
    private boolean mIsLoading;
    private boolean mIsClosing;

    /** How far the shard is. */
    private enum Phase {
        LOADING,
        ADOPTING,
        ACTIVE,
        LOST
    }

    /**
     * Constructs a shard that has not been read yet.
     *
     * @param context what all shards share, not null
     * @param pool the shard's pool, not null
     * @param owner the owner's key and the version that is the fencing token, not null
     * @param durations learnt durations, not null
     * @param onLost called once when the shard has another owner, not null
     */
    public Shard(
            ShardContext context,
            String pool,
            Condition owner,
            DurationModel durations,
            Consumer<Shard> onLost) {
        mContext = context;
        mState = new ShardState(pool, owner.version());
        mOnLost = onLost;
        mJournal =
                new BatchWriter(
                        context.store(),
                        context.calls(),
                        owner,
                        () -> markLost("other owner stored"));
        Runnable onFenced = () -> markLost("fenced by a minion");
        mFlow = new TaskLifecycle(context, mState, mJournal, durations, onFenced);
        mHolds = new MinionMonitor(context, mState, mJournal, mFlow, onFenced);
        mDispatcher = new Dispatcher(context, mState, mFlow, durations);
        mDesk = new JobRequestHandler(context.calls(), mState, mJournal, mFlow);
        mDeputies = new InboxWatcher(context, mState, mDesk, this::isLost);
        mDrains = new MinionDrainer(context.calls(), mState, mFlow);
        mStalls = new StallDetector(mState, mFlow, durations);
    }

    /** Returns the shard's pool. */
    public String pool() {
        return mState.mPool;
    }

    /** Returns the fencing token. */
    public long token() {
        return mState.mToken;
    }

    /** Returns whether the shard has another owner or was given up. */
    public boolean isLost() {
        return mPhase == Phase.LOST;
    }

    /** Returns whether the stored jobs are known. */
    public boolean isLoaded() {
        return mPhase == Phase.ADOPTING || mPhase == Phase.ACTIVE;
    }

    /** Takes nothing new and starts nothing, so that the shard can be handed over. */
    public void startHandover() {
        mIsClosing = true;
    }

    /** Returns whether the shard is being handed over. */
    public boolean isHandingOver() {
        return mIsClosing;
    }

    private boolean takesRequests() {
        return isLoaded() && !mIsClosing;
    }

    /** Returns whether everything that was told to callers is stored. */
    public boolean isFlushed() {
        return mJournal.isIdle();
    }

    /** Gives the shard up; nothing is ordered or written any more. */
    public void markLost(String reason) {
        if (mPhase == Phase.LOST) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "shard: lost pool={0} token={1} reason={2}",
                pool(),
                Long.toString(token()),
                reason);
        mPhase = Phase.LOST;
        mDesk.onShardLost();
        mOnLost.accept(this);
    }

    /** Takes note of the minions that are registered now. */
    public void onRegistrations(List<MinionInfo> minions) {
        mRegistrations = minions;
        if (isLoaded()) {
            mHolds.onRegistrations(minions);
        }
    }

    /** Does what is due. */
    public void tick(long nowNanos) {
        if (mPhase == Phase.LOST) {
            return;
        }
        if (mPhase == Phase.LOADING) {
            load(nowNanos);
            return;
        }
        mHolds.tick(nowNanos);
        recordMinions();
        mDrains.tick(nowNanos);
        mStalls.tick(nowNanos);
        adopt(nowNanos);
        boolean isDue = mState.mNeedsDispatch || nowNanos - mDispatchedNanos >= DISPATCH_NANOS;
        if (mPhase == Phase.ACTIVE && isDue && !mIsClosing) {
            mState.mNeedsDispatch = false;
            mDispatchedNanos = nowNanos;
            mDispatcher.run(nowNanos);
        }
        if (nowNanos - mPurgedNanos >= PURGE_NANOS) {
            mPurgedNanos = nowNanos;
            mDesk.purge(mContext.limits().retentionMillis());
        }
        if (mPhase != Phase.LOST) {
            mJournal.flush(nowNanos);
        }
    }

    private void load(long nowNanos) {
        if (mIsLoading || nowNanos - mReloadAtNanos < 0) {
            return;
        }
        mIsLoading = true;
        mContext.calls().onComplete(ShardLoader.load(mContext.store(), pool()), this::onLoaded);
    }

    private void onLoaded(ShardLoader.LoadedShard loaded, Throwable cause) {
        mIsLoading = false;
        if (mPhase != Phase.LOADING) {
            return;
        }
        long now = mContext.calls().nanoTime();
        if (cause != null) {
            LOGGER.log(Level.WARNING, "shard: not read pool={0} reason={1}", pool(), cause);
            mReloadAtNanos = now + RELOAD_NANOS;
            return;
        }
        long longest = mContext.limits().maxLeaseMillis();
        long bound = Math.round(longest * (1 + CLOCK_DRIFT)) + LEASE_MARGIN_MILLIS;
        mState.mInheritedLeaseEndNanos = now + TimeUnit.MILLISECONDS.toNanos(bound);
        loaded.restoreTo(mState, now);
        mMinionsVersion = loaded.minions().version();
        mRecorded = Set.copyOf(mState.mMinions.keySet());
        mPhase = Phase.ADOPTING;
        mLoadedNanos = now;
        mPurgedNanos = now;
        LOGGER.log(
                Level.INFO,
                "shard: read pool={0} token={1} jobs={2} active={3} minions={4}",
                pool(),
                Long.toString(token()),
                Integer.toString(mState.mJobs.size()),
                Integer.toString(mState.mActiveJobs.size()),
                Integer.toString(mState.mMinions.size()));
        mDesk.applyEarlyCancellations();
        mDeputies.start(loaded.inbox().revision());
        mHolds.onRegistrations(mRegistrations);
        tick(now);
    }

    private void adopt(long nowNanos) {
        if (mPhase != Phase.ADOPTING) {
            return;
        }
        if (mState.mUnreconciledMinions.isEmpty() || nowNanos - mLoadedNanos >= ADOPT_NANOS) {
            mPhase = Phase.ACTIVE;
            mState.mNeedsDispatch = true;
            LOGGER.log(
                    Level.INFO,
                    "shard: active pool={0} token={1} unasked={2}",
                    pool(),
                    Long.toString(token()),
                    mState.mUnreconciledMinions);
        }
    }

    /** Takes note that a minion has ended together with all that ran on it. */
    public void onMinionTerminated(String minion) {
        if (isLoaded()) {
            mHolds.onMinionTerminated(minion);
        }
    }

    /**
     * Stores which minions may hold runs: before a new one gets its first start, and when nothing
     * can run on one any more, so that the next owner does not wait for it.
     */
    private void recordMinions() {
        if (mIsRecording || mRecorded.equals(mState.mMinions.keySet())) {
            return;
        }
        List<MinionSession> sessions = List.copyOf(mState.mMinions.values());
        StoredMinions record =
                new StoredMinions(sessions.stream().map(MinionSession::info).toList());
        Set<String> ids = Set.copyOf(mState.mMinions.keySet());
        mIsRecording = true;
        mJournal.add(
                BatchWriter.Change.rewrite(
                        JobKeys.minions(pool()),
                        RecordCodec.encode(record),
                        mMinionsVersion,
                        version -> {
                            mMinionsVersion = version;
                            mIsRecording = false;
                            mRecorded = ids;
                            sessions.forEach(session -> session.mIsRecorded = true);
                            mState.mNeedsDispatch = true;
                        }),
                true);
    }

    /** Takes a job in. */
    public Future<JobAnswer> submit(QueueConfig queue, String id, JobSpec spec) {
        if (!takesRequests()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        Promise<JobAnswer> answer = Promise.promise();
        mDesk.submit(queue, id, spec, answer);
        mJournal.flush(mContext.calls().nanoTime());
        return answer.future();
    }

    /** Tells the state of a job. */
    public Future<JobAnswer> state(String id) {
        if (!isLoaded()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        return Future.succeededFuture(mDesk.state(id));
    }

    /** Cancels a job. */
    public Future<JobAnswer> cancel(String id) {
        if (!takesRequests()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        Promise<JobAnswer> answer = Promise.promise();
        mDesk.cancel(id, answer);
        if (mPhase != Phase.LOST) {
            mJournal.flush(mContext.calls().nanoTime());
        }
        return answer.future();
    }

    /** Counts the jobs of a queue of which nothing has started. */
    public Future<JobAnswer> pending(String queue) {
        if (!isLoaded()) {
            return Future.failedFuture(new NotOwnerException(pool()));
        }
        return Future.succeededFuture(JobAnswer.ofPending(mDesk.pending(queue)));
    }

    /** Returns how much the pool has to do. */
    public PoolLoad poolLoad() {
        return mDispatcher.poolLoad(mContext.calls().nanoTime());
    }

    /**
     * Asks for a minion to be emptied; the request holds for a short time only.
     *
     * @param minion id of the minion, not null
     * @param isUrgent whether what can be moved is not to be waited for
     * @return whether nothing runs there that must not be ended
     */
    public boolean drain(String minion, boolean isUrgent) {
        return takesRequests() && mDrains.request(minion, isUrgent);
    }
}
