package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.policy.job.ShardAssignment;

/**
 * Renews this daemon's lease, keeps it registered, claims shards that have no owner, and releases
 * shards when this daemon is overloaded or stops.
 *
 * <p>A shard is owned by the daemon whose claim wrote its owner key. The key's version is the
 * fencing token, and the key is removed when the daemon's lease expires. An owner continues to run
 * its shards while the store is away for its peers too. Minions refuse its orders once another
 * owner has contacted them.
 *
 * <p>Invariants: a shard is reported as acquired only with a version that the store has returned.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class OwnershipManager {
    private static final Logger LOGGER = System.getLogger(OwnershipManager.class.getName());

    /**
     * Time after which the next candidate claims a shard that the candidate before it has not
     * claimed.
     */
    private static final long NEXT_CANDIDATE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Time for which this daemon must own too many shards before it releases one. */
    private static final long REBALANCE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Delay before a failed removal of an owner key is retried. */
    private static final long REMOVE_RETRY_MILLIS = 300;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final OwnershipWatch mWatch;
    private final Listener mListener;
    private final long mSettleNanos;
    private final Map<String, Long> mTokens = new HashMap<>();
    private final Map<String, Long> mFreeSinceNanos = new HashMap<>();
    private final Set<String> mClaiming = new HashSet<>();

    /** Shards that are to be released or whose owner key is being removed. */
    private final Set<String> mReleasing = new HashSet<>();

    /** Tokens of all acquisitions so far; a shard is not acquired twice under the same token. */
    private final Set<Long> mUsedTokens = new HashSet<>();

    private final FormerShards mFormer = new FormerShards();
    private Set<String> mWanted = Set.of();
    private String mLastReleased = "";
    private final OwnershipView.DaemonRecord mSelf;
    private final DaemonLease mLease;
    private final BooleanSupplier mIsStoreAway;
    private long mOverloadedNanos;

    /** Receives a call when a shard is acquired, lost or to be released. */
    public interface Listener {
        /** Called when this daemon has acquired a shard under a fencing token. */
        void onAcquired(String shard, long token);

        /** Called when this daemon no longer owns a shard, with the reason. */
        void onLost(String shard, String reason);

        /**
         * Called when a shard is to be released; the listener must call {@link
         * OwnershipManager#completeRelease} once everything is stored.
         */
        void onReleaseRequested(String shard);
    }

    /**
     * Constructs a manager that has no lease and owns no shards.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param watch provides the current owners, not null
     * @param self this daemon, not null
     * @param isStoreAway whether neither this daemon nor its peers reach the store, not null
     * @param settleMillis time after registration before free shards are claimed, in milliseconds
     * @param listener notified of changes, not null
     */
    public OwnershipManager(
            SharedStore store,
            SchedulerExecutor executor,
            OwnershipWatch watch,
            OwnershipView.DaemonRecord self,
            BooleanSupplier isStoreAway,
            long settleMillis,
            Listener listener) {
        mStore = store;
        mExecutor = executor;
        mWatch = watch;
        mSelf = self;
        mIsStoreAway = isStoreAway;
        mLease = new DaemonLease(store, executor, self, isStoreAway, this::onLeaseLost);
        mSettleNanos = TimeUnit.MILLISECONDS.toNanos(settleMillis);
        mListener = listener;
    }

    /**
     * Sets the shards that should have an owner, in addition to those of the pools that hold
     * records of jobs.
     *
     * @param shards names of the shards, not null
     * @param lastReleased one of them, whose work pauses when its owner changes, so that it is
     *     released only if this daemon is overloaded by it alone; not null
     */
    public void setWantedShards(Set<String> shards, String lastReleased) {
        mWanted = new TreeSet<>(shards);
        mLastReleased = lastReleased;
    }

    private Set<String> wanted() {
        Set<String> wanted = new TreeSet<>(mWanted);
        if (!mWanted.isEmpty()) {
            wanted.addAll(mWatch.view().poolsWithJobs());
        }
        return wanted;
    }

    /**
     * Returns whether this daemon's lease has certainly not expired, so that no other daemon can
     * own its shards.
     */
    public boolean isLeaseValid() {
        return mLease.isValid();
    }

    /**
     * Returns whether this daemon may go on with the shards that it owns; not so after a pause,
     * until the store has been asked whether its lease still exists.
     */
    public boolean mayAct() {
        return mLease.mayAct();
    }

    /** Returns the shards that this daemon owns. */
    public Set<String> ownedShards() {
        return Set.copyOf(mTokens.keySet());
    }

    /**
     * Announces that this daemon is stopping and releases its shards, so that other daemons claim
     * them. While the store is away no other daemon could, so they are released when it is back.
     */
    public void stop() {
        mLease.announceStop();
        releaseAll();
    }

    private void releaseAll() {
        if (!mIsStoreAway.getAsBoolean()) {
            ownedShards().forEach(this::release);
        }
    }

    /**
     * Renews the lease when due, compares the owned shards with the store, and claims or releases
     * shards.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    public void tick(long nowNanos) {
        mLease.verifyRegistration(mWatch.view());
        mLease.tick(nowNanos);
        reconcile();
        if (mLease.isStopping()) {
            releaseAll();
            return;
        }
        if (!mLease.isRegistered()) {
            return;
        }
        reclaim();
        claimFormer();
        if (nowNanos - mLease.registeredNanos() >= mSettleNanos) {
            claimFree(nowNanos);
            rebalance(nowNanos);
        }
    }

    private void onLeaseLost() {
        mFormer.addAll(mTokens);
        for (String shard : List.copyOf(mTokens.keySet())) {
            drop(shard, "lease lost");
        }
    }

    private void reconcile() {
        OwnershipView view = mWatch.view();
        for (Map.Entry<String, Long> owned : Map.copyOf(mTokens).entrySet()) {
            OwnershipView.ShardOwner owner = view.owners().get(owned.getKey());
            boolean isNotOwner = owner == null || owner.token() != owned.getValue();
            if (isNotOwner && view.revision() >= owned.getValue()) {
                mFormer.addAll(Map.of(owned.getKey(), owned.getValue()));
                drop(owned.getKey(), owner == null ? "owner key removed" : "other owner");
            }
        }
        mReleasing.removeIf(shard -> !mTokens.containsKey(shard) && !isOwnKey(view, shard));
        view.owners()
                .forEach(
                        (shard, owner) -> {
                            if (isOwnKey(view, shard) && !mTokens.containsKey(shard)) {
                                onOwnKeyFound(shard, owner.token());
                            }
                        });
    }

    private boolean isOwnKey(OwnershipView view, String shard) {
        OwnershipView.ShardOwner owner = view.owners().get(shard);
        return owner != null
                && owner.daemon().equals(mSelf.name())
                && owner.incarnation() == mSelf.incarnation();
    }

    /**
     * Handles an owner key of this incarnation for which no acquisition has been reported, because
     * the answer to the claim was lost or the claim took effect late: acquires the shard, or
     * removes the key if the shard has been released or is not wanted.
     */
    private void onOwnKeyFound(String shard, long token) {
        if (mClaiming.contains(shard) || mReleasing.contains(shard)) {
            return;
        }
        if (wanted().contains(shard) && !mLease.isStopping() && mUsedTokens.add(token)) {
            onClaimed(shard, token);
        } else {
            removeKey(shard, token);
        }
    }

    /**
     * Claims the shards of an earlier incarnation of this daemon without waiting for its lease to
     * expire. That process has ended, because a host runs only one daemon of a given name.
     */
    private void reclaim() {
        OwnershipView view = mWatch.view();
        Set<String> wanted = wanted();
        view.owners()
                .forEach(
                        (shard, owner) -> {
                            boolean isEarlier =
                                    owner.daemon().equals(mSelf.name())
                                            && owner.incarnation() != mSelf.incarnation();
                            if (isEarlier
                                    && wanted.contains(shard)
                                    && !mTokens.containsKey(shard)
                                    && !mClaiming.contains(shard)) {
                                claim(shard, owner.token());
                            }
                        });
    }

    /**
     * Claims the shards that this daemon owned last and that have no owner, without waiting for
     * other daemons to register, so that the shards stay where they were after an outage in which
     * the leases of all daemons have expired.
     */
    private void claimFormer() {
        for (String shard : mFormer.withoutOwner(mWatch.view(), wanted())) {
            if (!mClaiming.contains(shard)) {
                claim(shard, SharedStore.ABSENT);
            }
        }
    }

    private void claimFree(long nowNanos) {
        OwnershipView view = mWatch.view();
        Set<String> free = wanted();
        free.removeAll(view.owners().keySet());
        free.removeAll(mTokens.keySet());
        mFreeSinceNanos.keySet().retainAll(free);
        Map<String, List<String>> candidates =
                ShardAssignment.candidates(free, view.ownerNames(), view.assignableCpuMillis());
        for (String shard : free) {
            long since = mFreeSinceNanos.computeIfAbsent(shard, ignored -> nowNanos);
            List<String> ranking = candidates.get(shard);
            if (ranking.isEmpty() || mClaiming.contains(shard)) {
                continue;
            }
            int index = (int) ((nowNanos - since) / NEXT_CANDIDATE_NANOS) % ranking.size();
            if (ranking.get(index).equals(mSelf.name())) {
                claim(shard, SharedStore.ABSENT);
            }
        }
    }

    private void claim(String shard, long version) {
        mClaiming.add(shard);
        String key = JobKeys.OWNER_PREFIX + shard;
        byte[] value =
                RecordCodec.encode(
                        new OwnershipView.OwnerRecord(mSelf.name(), mSelf.incarnation()));
        Commit commit =
                new Commit(
                        List.of(new Condition(key, version)),
                        List.of(new Write(key, value, mLease.id())),
                        List.of());
        mExecutor.onComplete(
                mStore.commit(commit),
                (result, cause) -> {
                    mClaiming.remove(shard);
                    if (result.isDone() && mLease.isStopping()) {
                        removeKey(shard, result.revision());
                    } else if (result.isDone()) {
                        onClaimed(shard, result.revision());
                    } else if (result.outcome() == CommitOutcome.NO_SUCH_LEASE) {
                        mLease.onLost();
                    } else if (result.outcome() != CommitOutcome.UNKNOWN) {
                        mFormer.remove(shard);
                    }
                });
    }

    private void onClaimed(String shard, long token) {
        LOGGER.log(Level.INFO, "shard: taken shard={0} token={1}", shard, Long.toString(token));
        mUsedTokens.add(token);
        mFormer.remove(shard);
        mTokens.put(shard, token);
        mListener.onAcquired(shard, token);
    }

    private void drop(String shard, String reason) {
        mTokens.remove(shard);
        mReleasing.remove(shard);
        mListener.onLost(shard, reason);
    }

    private void rebalance(long nowNanos) {
        OwnershipView view = mWatch.view();
        boolean isOverloaded =
                ShardAssignment.isOverloaded(
                                mSelf.name(), view.ownerNames(), view.assignableCpuMillis())
                        && view.owners().size() >= wanted().size();
        if (!isOverloaded) {
            mOverloadedNanos = nowNanos;
        } else if (nowNanos - mOverloadedNanos >= REBALANCE_DELAY_NANOS && mReleasing.isEmpty()) {
            mOverloadedNanos = nowNanos;
            ShardAssignment.releasedFirst(mTokens.keySet(), mLastReleased).ifPresent(this::release);
        }
    }

    /** Starts to release a shard, unless it is not owned or is being released already. */
    public void release(String shard) {
        if (mTokens.containsKey(shard) && mReleasing.add(shard)) {
            LOGGER.log(Level.INFO, "shard: releasing shard={0}", shard);
            mListener.onReleaseRequested(shard);
        }
    }

    /**
     * Removes the owner key of a shard on which this daemon has stopped all work, so that another
     * daemon can claim it.
     *
     * @param shard the shard, not null
     * @param token the fencing token under which it was owned
     */
    public void completeRelease(String shard, long token) {
        boolean isRequested = mReleasing.contains(shard);
        if (mTokens.remove(shard, token) && !isRequested) {
            mFormer.addAll(Map.of(shard, token));
        }
        removeKey(shard, token);
    }

    private void removeKey(String shard, long token) {
        String key = JobKeys.OWNER_PREFIX + shard;
        mReleasing.add(shard);
        mExecutor.onComplete(
                mStore.commit(
                        new Commit(List.of(new Condition(key, token)), List.of(), List.of(key))),
                (result, cause) -> {
                    if (!result.isDone()) {
                        mExecutor.schedule(REMOVE_RETRY_MILLIS, () -> mReleasing.remove(shard));
                    }
                });
    }
}
