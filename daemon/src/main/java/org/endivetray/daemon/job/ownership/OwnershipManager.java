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
 * Keeps this daemon's lease and takes shards that have no owner.
 *
 * <p>A shard is owned by whoever created its key; the key's version is the fencing token and its
 * lease is the daemon's. While the store cannot be reached an owner goes on: minions refuse its
 * orders as soon as another owner has asked them.
 *
 * <p>Invariants: a shard is reported as owned only with the version that the store has told.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class OwnershipManager {
    private static final Logger LOGGER = System.getLogger(OwnershipManager.class.getName());

    /** Time to live of the lease. Bounds the time without an owner after a crash. */
    private static final long LEASE_MILLIS = 2_500;

    /** Taken off the lease for the way of an order. Several slow round trips. */
    private static final long SURE_MARGIN_MILLIS = 600;

    /** Time between renewals. A quarter of the lease. */
    private static final long RENEW_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Time after which the next choice takes a shard that its first choice does not take. */
    private static final long NEXT_CHOICE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Time for which this daemon must own too many shards before it gives one up. */
    private static final long REBALANCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Pause before the removal of a key that failed is tried again. */
    private static final long REMOVE_RETRY_MILLIS = 300;

    private final SharedStore mStore;
    private final SchedulerExecutor mCalls;
    private final OwnershipWatch mWatch;
    private final Listener mListener;
    private final long mSettleNanos;
    private final Map<String, Long> mTokens = new HashMap<>();
    private final Map<String, Long> mFreeSince = new HashMap<>();
    private final Set<String> mAttempts = new HashSet<>();
    private final Set<String> mReleasing = new HashSet<>();
    private final Set<Long> mUsedTokens = new HashSet<>();
    private Set<String> mWanted = Set.of();
    private OwnershipView.DaemonRecord mSelf;
    private long mLease = SharedStore.NO_LEASE;
    private boolean mIsRegistered;
    private boolean mIsCalling;
    private long mNextCallNanos;
    private long mRegisteredNanos;
    private long mOverloadedNanos;
    private long mRenewedNanos;
    private long mRenewedMillis;

    /** Takes note of shards won and lost. */
    public interface Listener {
        /** The shard is owned under the token. */
        void onAcquired(String shard, long token);

        /** The shard is no longer owned. */
        void onLost(String shard, String reason);

        /** The shard is to be given up as soon as everything is stored. */
        void onReleaseRequested(String shard);
    }

    /**
     * Constructs an ownership that holds nothing.
     *
     * @param store the shared store, not null
     * @param calls runs results on the scheduler's thread, not null
     * @param watch the view of owners, not null
     * @param self this daemon, not null
     * @param settleMillis time after registration before shards are taken, in milliseconds
     * @param listener takes note of changes, not null
     */
    public OwnershipManager(
            SharedStore store,
            SchedulerExecutor calls,
            OwnershipWatch watch,
            OwnershipView.DaemonRecord self,
            long settleMillis,
            Listener listener) {
        mStore = store;
        mCalls = calls;
        mWatch = watch;
        mSelf = self;
        mSettleNanos = TimeUnit.MILLISECONDS.toNanos(settleMillis);
        mListener = listener;
    }

    /** Sets the shards that should have an owner. */
    public void setWantedShards(Set<String> shards) {
        mWanted = new TreeSet<>(shards);
    }

    /**
     * Returns whether this daemon's lease can certainly not have ended, so that no other daemon
     * owns what it owns.
     *
     * <p>The steady clock stands still while a host is suspended and the time of day may jump, so
     * both must agree.
     */
    public boolean isLeaseValid() {
        long steady = TimeUnit.NANOSECONDS.toMillis(mCalls.nanoTime() - mRenewedNanos);
        long ofDay = mCalls.currentTimeMillis() - mRenewedMillis;
        return mIsRegistered
                && steady < LEASE_MILLIS - SURE_MARGIN_MILLIS
                && ofDay < LEASE_MILLIS - SURE_MARGIN_MILLIS
                && ofDay >= steady - SURE_MARGIN_MILLIS;
    }

    private void onRenewed(long sentNanos, long sentMillis) {
        mRenewedNanos = sentNanos;
        mRenewedMillis = sentMillis;
    }

    /** Returns the shards that are owned. */
    public Set<String> ownedShards() {
        return Set.copyOf(mTokens.keySet());
    }

    /** Tells the others that this daemon stops, so that they take its shards. */
    public void stop() {
        mSelf = mSelf.stopping();
        mIsRegistered = false;
        mNextCallNanos = mCalls.nanoTime();
    }

    /** Does what is due. */
    public void tick(long nowNanos) {
        if (!mIsCalling && nowNanos - mNextCallNanos >= 0) {
            if (mLease == SharedStore.NO_LEASE) {
                createLease();
            } else if (!mIsRegistered) {
                register();
            } else {
                renew();
            }
        }
        compareWithView();
        if (mIsRegistered && !mSelf.isStopping()) {
            reclaim();
        }
        boolean isSettled = mIsRegistered && nowNanos - mRegisteredNanos >= mSettleNanos;
        if (isSettled && !mSelf.isStopping()) {
            takeFree(nowNanos);
            rebalance(nowNanos);
        }
    }

    private void createLease() {
        mIsCalling = true;
        long sentNanos = mCalls.nanoTime();
        long sentMillis = mCalls.currentTimeMillis();
        mCalls.onComplete(
                mStore.createLease(LEASE_MILLIS),
                (lease, cause) -> {
                    mIsCalling = false;
                    if (cause == null) {
                        mLease = lease;
                        onRenewed(sentNanos, sentMillis);
                        mNextCallNanos = mCalls.nanoTime();
                    } else {
                        callAgain("lease", cause.getMessage());
                    }
                });
    }

    private void register() {
        mIsCalling = true;
        Write write =
                new Write(JobKeys.DAEMON_PREFIX + mSelf.name(), RecordCodec.encode(mSelf), mLease);
        mCalls.onComplete(
                mStore.commit(new Commit(List.of(), List.of(write), List.of())),
                (result, cause) -> {
                    mIsCalling = false;
                    if (result.isDone()) {
                        LOGGER.log(Level.INFO, "shard: daemon registered name={0}", mSelf.name());
                        mIsRegistered = true;
                        mRegisteredNanos = mCalls.nanoTime();
                        mNextCallNanos = mRegisteredNanos + RENEW_NANOS;
                    } else if (result.outcome() == CommitOutcome.NO_SUCH_LEASE) {
                        onLeaseLost();
                    } else {
                        callAgain("registration", result.outcome().name());
                    }
                });
    }

    private void renew() {
        mIsCalling = true;
        long sentNanos = mCalls.nanoTime();
        long sentMillis = mCalls.currentTimeMillis();
        mCalls.onComplete(
                mStore.renewLease(mLease),
                (exists, cause) -> {
                    mIsCalling = false;
                    if (cause != null) {
                        callAgain("renewal", cause.getMessage());
                    } else if (exists) {
                        onRenewed(sentNanos, sentMillis);
                        mNextCallNanos = mCalls.nanoTime() + RENEW_NANOS;
                    } else {
                        onLeaseLost();
                    }
                });
    }

    private void callAgain(String what, String reason) {
        LOGGER.log(Level.INFO, "shard: no {0} reason={1}", what, reason);
        mNextCallNanos = mCalls.nanoTime() + RENEW_NANOS / 2;
    }

    private void onLeaseLost() {
        LOGGER.log(Level.WARNING, "shard: daemon lease lost lease={0}", Long.toString(mLease));
        mLease = SharedStore.NO_LEASE;
        mIsRegistered = false;
        mNextCallNanos = mCalls.nanoTime();
        for (String shard : List.copyOf(mTokens.keySet())) {
            lose(shard, "lease lost");
        }
    }

    private void compareWithView() {
        OwnershipView view = mWatch.view();
        for (Map.Entry<String, Long> owned : Map.copyOf(mTokens).entrySet()) {
            OwnershipView.ShardOwner owner = view.owners().get(owned.getKey());
            boolean isOther = owner == null || owner.token() != owned.getValue();
            if (isOther && view.revision() >= owned.getValue()) {
                lose(owned.getKey(), owner == null ? "owner key gone" : "other owner");
            }
        }
        mReleasing.removeIf(shard -> !mTokens.containsKey(shard) && !isMine(view, shard));
        view.owners()
                .forEach(
                        (shard, owner) -> {
                            if (isMine(view, shard) && !mTokens.containsKey(shard)) {
                                onOwnKeyFound(shard, owner.token());
                            }
                        });
    }

    private boolean isMine(OwnershipView view, String shard) {
        OwnershipView.ShardOwner owner = view.owners().get(shard);
        return owner != null
                && owner.daemon().equals(mSelf.name())
                && owner.incarnation() == mSelf.incarnation();
    }

    /** Takes over a key of its own that landed late, or removes it if it was given up. */
    private void onOwnKeyFound(String shard, long token) {
        if (mAttempts.contains(shard) || mReleasing.contains(shard)) {
            return;
        }
        if (mWanted.contains(shard) && !mSelf.isStopping() && mUsedTokens.add(token)) {
            win(shard, token);
        } else {
            removeKey(shard, token);
        }
    }

    /**
     * Takes the shards that an earlier incarnation of this daemon owned, whose lease has not ended
     * yet; that process is gone, since a host runs one daemon of a name.
     */
    private void reclaim() {
        OwnershipView view = mWatch.view();
        view.owners()
                .forEach(
                        (shard, owner) -> {
                            boolean isEarlier =
                                    owner.daemon().equals(mSelf.name())
                                            && owner.incarnation() != mSelf.incarnation();
                            if (isEarlier
                                    && mWanted.contains(shard)
                                    && !mTokens.containsKey(shard)
                                    && !mAttempts.contains(shard)) {
                                take(shard, owner.token());
                            }
                        });
    }

    private void takeFree(long nowNanos) {
        OwnershipView view = mWatch.view();
        Set<String> free = new TreeSet<>(mWanted);
        free.removeAll(view.owners().keySet());
        free.removeAll(mTokens.keySet());
        mFreeSince.keySet().retainAll(free);
        Map<String, List<String>> candidates =
                ShardAssignment.candidates(free, view.ownerNames(), view.assignableCpuMillis());
        for (String shard : free) {
            long since = mFreeSince.computeIfAbsent(shard, ignored -> nowNanos);
            List<String> order = candidates.get(shard);
            if (order.isEmpty() || mAttempts.contains(shard)) {
                continue;
            }
            int choice = (int) ((nowNanos - since) / NEXT_CHOICE_NANOS) % order.size();
            if (order.get(choice).equals(mSelf.name())) {
                take(shard, SharedStore.ABSENT);
            }
        }
    }

    private void take(String shard, long version) {
        mAttempts.add(shard);
        String key = JobKeys.OWNER_PREFIX + shard;
        byte[] value =
                RecordCodec.encode(
                        new OwnershipView.OwnerRecord(mSelf.name(), mSelf.incarnation()));
        Commit commit =
                new Commit(
                        List.of(new Condition(key, version)),
                        List.of(new Write(key, value, mLease)),
                        List.of());
        mCalls.onComplete(
                mStore.commit(commit),
                (result, cause) -> {
                    mAttempts.remove(shard);
                    if (result.isDone()) {
                        win(shard, result.revision());
                    } else if (result.outcome() == CommitOutcome.NO_SUCH_LEASE) {
                        onLeaseLost();
                    }
                });
    }

    private void win(String shard, long token) {
        LOGGER.log(Level.INFO, "shard: taken shard={0} token={1}", shard, Long.toString(token));
        mUsedTokens.add(token);
        mTokens.put(shard, token);
        mListener.onAcquired(shard, token);
    }

    private void lose(String shard, String reason) {
        mTokens.remove(shard);
        mReleasing.remove(shard);
        mListener.onLost(shard, reason);
    }

    private void rebalance(long nowNanos) {
        OwnershipView view = mWatch.view();
        boolean isOverloaded =
                ShardAssignment.isOverloaded(
                                mSelf.name(), view.ownerNames(), view.assignableCpuMillis())
                        && view.owners().size() >= mWanted.size();
        if (!isOverloaded) {
            mOverloadedNanos = nowNanos;
        } else if (nowNanos - mOverloadedNanos >= REBALANCE_NANOS && mReleasing.isEmpty()) {
            mOverloadedNanos = nowNanos;
            new TreeSet<>(mTokens.keySet()).stream().findFirst().ifPresent(this::release);
        }
    }

    /** Starts to give a shard up. */
    public void release(String shard) {
        if (mTokens.containsKey(shard) && mReleasing.add(shard)) {
            LOGGER.log(Level.INFO, "shard: giving up shard={0}", shard);
            mListener.onReleaseRequested(shard);
        }
    }

    /**
     * Removes the owner's key of a shard that no longer does anything.
     *
     * @param shard the shard, not null
     * @param token the token under which it was owned
     */
    public void completeRelease(String shard, long token) {
        mTokens.remove(shard, token);
        removeKey(shard, token);
    }

    private void removeKey(String shard, long token) {
        String key = JobKeys.OWNER_PREFIX + shard;
        mReleasing.add(shard);
        mCalls.onComplete(
                mStore.commit(
                        new Commit(List.of(new Condition(key, token)), List.of(), List.of(key))),
                (result, cause) -> {
                    if (!result.isDone()) {
                        mCalls.schedule(REMOVE_RETRY_MILLIS, () -> mReleasing.remove(shard));
                    }
                });
    }
}
