package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.shard.ShardState.TerminatedMinion;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.MinionOrders.OrderOutcome;
import org.endivetray.platform.MinionOrders.RunListing;

/**
 * Renews the leases of a shard's minions, requests the listings of their runs and follows their
 * registrations and incarnations.
 *
 * <p>Invariants: at most one request for a listing per minion is in flight; the end of a run is
 * acknowledged to its minion only after the changes that it caused have been stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionMonitor {
    private static final Logger LOGGER = System.getLogger(MinionMonitor.class.getName());

    /**
     * Time for which a minion with tasks may wait for the end of a run before it answers. This is a
     * fraction of the lease.
     */
    private static final int WAIT_BUSY_MILLIS = 1_000;

    /**
     * Time for which a minion without tasks may wait before it answers. This is the longest wait
     * that the platform allows.
     */
    private static final int WAIT_IDLE_MILLIS = 2_000;

    /**
     * Time for which a minion may wait on which runs are being stopped or long-running tasks start
     * up, whose lease could not be extended or whose token could not be raised, so that the next
     * request follows soon.
     */
    private static final int WAIT_UNSETTLED_MILLIS = 200;

    /** Delay before the next request to a minion that has not answered. */
    private static final long NO_RESPONSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Delay before ends are listed again while the changes that they caused are not stored, as
     * during an outage of the store.
     */
    private static final long UNSTORED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Time for which a minion without a registration is kept. This is the time in which the
     * platform lets a minion return.
     */
    private static final long UNREGISTERED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /**
     * Time for which the registration of a terminated incarnation is ignored; the platform removes
     * it after three intervals without a report.
     */
    private static final long TERMINATED_NANOS = TimeUnit.MILLISECONDS.toNanos(10_000);

    private final ShardContext mContext;
    private final ShardState mState;
    private final BatchWriter mWriter;
    private final TaskLifecycle mLifecycle;
    private final BestEffortThrottle mThrottle;
    private final RunReconciler mReconciler;
    private final Runnable mOnFenced;

    MinionMonitor(
            ShardContext context,
            ShardState state,
            BatchWriter writer,
            TaskLifecycle lifecycle,
            Runnable onFenced) {
        mContext = context;
        mState = state;
        mWriter = writer;
        mLifecycle = lifecycle;
        mThrottle = new BestEffortThrottle(context, state);
        mReconciler = new RunReconciler(context, state, lifecycle);
        mOnFenced = onFenced;
    }

    /** Updates the set of registered minions. */
    void onRegistrations(List<MinionInfo> minions) {
        long now = mContext.executor().nanoTime();
        Set<String> registered = new HashSet<>();
        mState.mTerminatedMinions
                .values()
                .removeIf(minion -> now - minion.terminatedNanos() >= TERMINATED_NANOS);
        for (MinionInfo info : minions) {
            if (mState.isTerminated(info)) {
                continue;
            }
            registered.add(info.id());
            MinionSession session = mState.mMinions.get(info.id());
            if (session == null) {
                session = mState.addMinion(info);
                LOGGER.log(
                        Level.INFO,
                        "minion: registered minion={0} pool={1} cpu={2}",
                        info.id(),
                        info.pool(),
                        Integer.toString(info.cpuMillis()));
            }
            if (session.info().draining() != info.draining()) {
                LOGGER.log(
                        Level.INFO, "minion: registered drain state changed minion={0}", info.id());
            }
            if (session.isLaterIncarnation(info)) {
                session.mIsResponding = false;
            }
            session.updateInfo(info);
            session.mIsRegistered = true;
        }
        for (MinionSession session : mState.mMinions.values()) {
            if (session.mIsRegistered && !registered.contains(session.id())) {
                session.mIsRegistered = false;
                session.mUnregisteredNanos = now;
            }
        }
    }

    /**
     * Removes a minion that was terminated by order, together with all runs on it, unless another
     * incarnation than the terminated one has answered last.
     *
     * @param id id of the minion, not null
     * @param incarnationMillis start of the terminated incarnation, in milliseconds since 1970
     */
    void onMinionTerminated(String id, long incarnationMillis) {
        MinionSession session = mState.mMinions.get(id);
        boolean isSame =
                session != null
                        && incarnationMillis != 0
                        && session.incarnationMillis() == incarnationMillis;
        LOGGER.log(
                Level.INFO,
                "minion: terminated by order minion={0} incarnation={1} known={2}",
                id,
                Long.toString(incarnationMillis),
                isSame);
        if (isSame) {
            mState.mInheritedRuns.onReconciled(id);
            mState.removeMinion(session);
            mState.mTerminatedMinions.put(
                    id, new TerminatedMinion(incarnationMillis, mContext.executor().nanoTime()));
            loseAllRuns(session, "minion terminated by order");
        }
    }

    /** Requests the listings that are due and removes unregistered minions that can run nothing. */
    void tick(long nowNanos) {
        for (MinionSession session : List.copyOf(mState.mMinions.values())) {
            if (!session.mIsResponding
                    && session.mHasResponded
                    && session.isLeaseExpired(nowNanos)) {
                loseAllRuns(session, "lease expired");
            }
            boolean isRemovable =
                    !session.mIsRegistered
                            && !session.mIsResponding
                            && session.tasks().isEmpty()
                            && session.isLeaseExpired(nowNanos)
                            && nowNanos - session.mUnregisteredNanos >= UNREGISTERED_NANOS;
            if (isRemovable) {
                LOGGER.log(Level.INFO, "minion: removed minion={0}", session.id());
                mState.removeMinion(session);
                continue;
            }
            if (!session.mIsListing && nowNanos - session.mNextListingNanos >= 0) {
                requestListing(session, nowNanos);
            }
        }
    }

    /** Renews the lease of a minion and requests a listing of its runs. */
    private void requestListing(MinionSession session, long nowNanos) {
        boolean isFirst = !session.mIsResponding || !session.hasClock();
        boolean hasUnstored = session.mLastProcessedEnd > session.mLastStoredEnd;
        int wait = session.tasks().isEmpty() ? WAIT_IDLE_MILLIS : WAIT_BUSY_MILLIS;
        boolean mayExtend = mContext.mayAct().getAsBoolean();
        session.raiseToken(mWriter.lastRevision());
        boolean isUnsettled =
                !mayExtend
                        || !session.mFence.isRaised()
                        || session.isStopping()
                        || session.mayHaveTasksStartingUp(nowNanos);
        int longestWait = isUnsettled ? WAIT_UNSETTLED_MILLIS : wait;
        int waitMillis = isFirst || hasUnstored ? 0 : longestWait;
        session.onListingRequested(waitMillis, nowNanos);
        long leaseMillis = mayExtend ? mContext.limits().maxLeaseMillis() : 0;
        mContext.executor()
                .onComplete(
                        mContext.minions()
                                .renewRunLeases(
                                        session.info(),
                                        session.leaseOrder(leaseMillis, waitMillis, nowNanos)),
                        (listing, cause) -> onListing(session, listing, nowNanos));
    }

    private void onListing(MinionSession session, RunListing listing, long sentNanos) {
        session.mIsListing = false;
        if (mState.isLost() || mState.mMinions.get(session.id()) != session) {
            return;
        }
        long now = mContext.executor().nanoTime();
        if (listing.outcome() == OrderOutcome.FENCED) {
            mOnFenced.run();
            return;
        }
        if (listing.outcome() != OrderOutcome.DONE) {
            onNoResponse(session, listing.outcome(), now);
            return;
        }
        boolean wasFirst = !session.mHasResponded;
        if (!session.mIsResponding) {
            LOGGER.log(
                    Level.INFO,
                    "minion: responding minion={0} running={1} ends={2}",
                    session.id(),
                    Integer.toString(listing.running().size()),
                    Integer.toString(listing.ended().size()));
        }
        session.mIsResponding = true;
        session.mHasResponded = true;
        session.onClock(listing.clockMillis(), now);
        if (session.onIncarnation(listing.bornMillis())) {
            onNewIncarnation(session, sentNanos);
        }
        mReconciler.onListed(session, listing, sentNanos);
        mThrottle.onListed(session, now);
        if (RunReconciler.isWhole(listing)) {
            mState.mInheritedRuns.onReconciled(session.id());
        }
        mState.mNeedsDispatch |= wasFirst;
        scheduleNext(session, now);
    }

    private void scheduleNext(MinionSession session, long nowNanos) {
        if (session.mLastProcessedEnd > session.mLastStoredEnd) {
            long upTo = session.mLastProcessedEnd;
            long incarnation = session.incarnationMillis();
            session.mNextListingNanos = nowNanos + UNSTORED_DELAY_NANOS;
            mWriter.afterStored(
                    () -> {
                        session.onEndsStored(upTo, incarnation);
                        session.mNextListingNanos = mContext.executor().nanoTime();
                    });
        } else {
            session.mNextListingNanos = nowNanos;
        }
    }

    private void onNoResponse(MinionSession session, OrderOutcome outcome, long nowNanos) {
        if (session.mIsResponding
                || !session.mHasResponded && session.mUnresponsiveSinceNanos == 0) {
            session.mUnresponsiveSinceNanos = nowNanos;
            LOGGER.log(
                    Level.INFO,
                    "minion: not responding minion={0} outcome={1} tasks={2}",
                    session.id(),
                    outcome,
                    Integer.toString(session.tasks().size()));
        }
        session.mIsResponding = false;
        session.mNextListingNanos = nowNanos + NO_RESPONSE_DELAY_NANOS;
        if (outcome == OrderOutcome.OTHER_INCARNATION) {
            // Another minion answers at the address, so the previous one has ended.
            loseAllRuns(session, "another minion at its address");
        }
    }

    /**
     * Gives up the runs of the earlier incarnation.
     *
     * @param session the minion, not null
     * @param sentNanos time of the monotonic clock at which the listing was requested that has
     *     shown the new incarnation, in nanoseconds; a start that was confirmed later may have been
     *     confirmed by the new one, and the next listing tells
     */
    private void onNewIncarnation(MinionSession session, long sentNanos) {
        mState.mNeedsToken |= !session.mFence.isRaisedBy(mWriter.lastRevision());
        LOGGER.log(
                Level.INFO,
                "minion: new incarnation minion={0} token={1} fenced={2}",
                session.id(),
                Long.toString(session.mFence.token()),
                session.mFence.isRaised());
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            boolean isStopVoid = task.mStopAcked && !session.mFence.isRaised();
            boolean mayBeNew =
                    task.mPhase == TaskPhase.RUNNING && task.mAckedNanos - sentNanos >= 0;
            if (mayBeNew) {
                continue;
            }
            if (task.mPhase == TaskPhase.STARTING || isStopVoid) {
                // A start without an answer may still reach the new incarnation.
                mLifecycle.stop(task, "new incarnation");
            } else if (task.mPhase == TaskPhase.RUNNING || task.mStopAcked) {
                mLifecycle.onRunLost(task, "new incarnation");
            }
        }
    }

    private void loseAllRuns(MinionSession session, String reason) {
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            mLifecycle.onRunLost(task, reason);
        }
        session.room().clearOrphans();
    }
}
