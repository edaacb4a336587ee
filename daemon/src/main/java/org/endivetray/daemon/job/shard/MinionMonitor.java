package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.MinionOrders.EndedTask;
import org.endivetray.platform.MinionOrders.OrderOutcome;
import org.endivetray.platform.MinionOrders.RunListing;
import org.endivetray.platform.MinionOrders.RunningTask;

/**
 * Keeps the leases of a shard's minions and compares what they list with what is believed.
 *
 * <p>Invariants: at most one listing of a minion is under way; the number of the last seen end is
 * raised only once what the ends changed is stored.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionMonitor {
    private static final Logger LOGGER = System.getLogger(MinionMonitor.class.getName());

    /** Time that a minion with tasks may wait for an end. A fraction of the lease. */
    private static final int WAIT_BUSY_MILLIS = 1_000;

    /** Time that a minion without tasks may wait. The platform's longest. */
    private static final int WAIT_IDLE_MILLIS = 2_000;

    /** Pause after a listing that was not answered. */
    private static final long SILENT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Pause before ends that are not stored yet are listed again, as while the store is away. */
    private static final long UNSTORED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Time for which a minion without a registration is kept. The platform's time of return. */
    private static final long UNLISTED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Most ends in one listing. From the platform's protocol. */
    private static final int MAX_ENDS = 500;

    private final ShardContext mContext;
    private final ShardState mState;
    private final BatchWriter mJournal;
    private final TaskLifecycle mFlow;
    private final BestEffortThrottle mPace;
    private final Runnable mOnFenced;

    MinionMonitor(
            ShardContext context,
            ShardState state,
            BatchWriter journal,
            TaskLifecycle flow,
            Runnable onFenced) {
        mContext = context;
        mState = state;
        mJournal = journal;
        mFlow = flow;
        mPace = new BestEffortThrottle(context, state);
        mOnFenced = onFenced;
    }

    /** Takes note of the minions that are registered now. */
    void onRegistrations(List<MinionInfo> minions) {
        long now = mContext.calls().nanoTime();
        Set<String> listed = new HashSet<>();
        for (MinionInfo info : minions) {
            if (mState.isTerminated(info)) {
                continue;
            }
            listed.add(info.id());
            MinionSession session = mState.mMinions.get(info.id());
            if (session == null) {
                session = new MinionSession(info);
                mState.mMinions.put(info.id(), session);
                LOGGER.log(
                        Level.INFO,
                        "minion: found minion={0} pool={1} cpu={2}",
                        info.id(),
                        info.pool(),
                        Integer.toString(info.cpuMillis()));
            }
            if (session.info().draining() != info.draining()) {
                LOGGER.log(Level.INFO, "minion: draining minion={0}", info.id());
            }
            if (session.isLaterIncarnation(info)) {
                session.mIsResponding = false;
            }
            session.updateInfo(info);
            session.mIsRegistered = true;
        }
        for (MinionSession session : mState.mMinions.values()) {
            if (session.mIsRegistered && !listed.contains(session.id())) {
                session.mIsRegistered = false;
                session.mUnregisteredNanos = now;
            }
        }
    }

    /** Takes note that a minion has ended together with all that ran on it. */
    void onMinionTerminated(String id) {
        mState.mUnreconciledMinions.remove(id);
        MinionSession session = mState.mMinions.remove(id);
        mState.mTerminatedMinions.put(id, session == null ? 0 : session.incarnationMillis());
        if (session != null) {
            LOGGER.log(Level.INFO, "minion: ended by order minion={0}", id);
            loseAll(session, "minion ended by order");
        }
    }

    /** Sends the listings that are due and gives up minions that are gone. */
    void tick(long nowNanos) {
        for (MinionSession session : List.copyOf(mState.mMinions.values())) {
            if (!session.mIsResponding
                    && session.mHasResponded
                    && session.isLeaseExpired(nowNanos)) {
                loseAll(session, "lease ended");
            }
            boolean isGone =
                    !session.mIsRegistered
                            && !session.mIsResponding
                            && session.tasks().isEmpty()
                            && session.isLeaseExpired(nowNanos)
                            && !mState.mayRunInheritedTasks(session.id(), nowNanos)
                            && nowNanos - session.mUnregisteredNanos >= UNLISTED_NANOS;
            if (isGone) {
                LOGGER.log(Level.INFO, "minion: gone minion={0}", session.id());
                mState.mMinions.remove(session.id());
                continue;
            }
            if (!session.mIsListing && nowNanos - session.mNextListingNanos >= 0) {
                hold(session, nowNanos);
            }
        }
    }

    private void hold(MinionSession session, long nowNanos) {
        session.mIsListing = true;
        boolean isFirst = !session.mIsResponding || !session.hasClock();
        boolean hasUnstored = session.mLastProcessedEnd > session.mLastStoredEnd;
        int wait = session.tasks().isEmpty() ? WAIT_IDLE_MILLIS : WAIT_BUSY_MILLIS;
        int waitMillis = isFirst || hasUnstored ? 0 : wait;
        mContext.calls()
                .onComplete(
                        mContext.minions()
                                .renewRunLeases(
                                        session.info(),
                                        session.listingOrder(
                                                mContext.limits().maxLeaseMillis(),
                                                waitMillis,
                                                mState.mToken,
                                                nowNanos)),
                        (listing, cause) -> onListing(session, listing, nowNanos));
    }

    private void onListing(MinionSession session, RunListing listing, long sentNanos) {
        session.mIsListing = false;
        if (mState.mMinions.get(session.id()) != session) {
            return;
        }
        long now = mContext.calls().nanoTime();
        if (listing.outcome() == OrderOutcome.FENCED) {
            mOnFenced.run();
            return;
        }
        if (listing.outcome() != OrderOutcome.DONE) {
            onSilent(session, listing.outcome(), now);
            return;
        }
        boolean wasFirst = !session.mHasResponded;
        if (!session.mIsResponding) {
            LOGGER.log(
                    Level.INFO,
                    "minion: answers minion={0} running={1} ends={2}",
                    session.id(),
                    Integer.toString(listing.running().size()),
                    Integer.toString(listing.ended().size()));
        }
        session.mIsResponding = true;
        session.mHasResponded = true;
        session.onClock(listing.clockMillis(), now);
        if (session.onIncarnation(listing.bornMillis())) {
            onReborn(session);
        }
        onEnds(session, listing.ended());
        onRunning(session, listing, sentNanos);
        mPace.onListed(session, now);
        mState.mUnreconciledMinions.remove(session.id());
        mState.mNeedsDispatch |= wasFirst;
        scheduleNext(session, now);
    }

    private void scheduleNext(MinionSession session, long nowNanos) {
        if (session.mLastProcessedEnd > session.mLastStoredEnd) {
            long upTo = session.mLastProcessedEnd;
            long born = session.incarnationMillis();
            session.mNextListingNanos = nowNanos + UNSTORED_PAUSE_NANOS;
            mJournal.afterStored(
                    () -> {
                        session.onEndsStored(upTo, born);
                        session.mNextListingNanos = mContext.calls().nanoTime();
                    });
        } else {
            session.mNextListingNanos = nowNanos;
        }
    }

    private void onSilent(MinionSession session, OrderOutcome outcome, long nowNanos) {
        if (session.mIsResponding
                || !session.mHasResponded && session.mUnresponsiveSinceNanos == 0) {
            session.mUnresponsiveSinceNanos = nowNanos;
            LOGGER.log(
                    Level.INFO,
                    "minion: silent minion={0} outcome={1} tasks={2}",
                    session.id(),
                    outcome,
                    Integer.toString(session.tasks().size()));
        }
        session.mIsResponding = false;
        session.mNextListingNanos = nowNanos + SILENT_PAUSE_NANOS;
        if (outcome == OrderOutcome.OTHER_INCARNATION) {
            // The address answers for another minion, so the one that had it has ended.
            loseAll(session, "another minion at its address");
        }
    }

    private void onReborn(MinionSession session) {
        LOGGER.log(Level.INFO, "minion: new incarnation minion={0}", session.id());
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            if (task.mPhase == TaskPhase.STARTING) {
                // A start whose answer is missing may yet reach the new incarnation.
                mFlow.stop(task, "new incarnation");
            } else if (task.mPhase == TaskPhase.RUNNING || task.mStopAcked) {
                mFlow.onRunLost(task, "new incarnation");
            }
        }
    }

    private void loseAll(MinionSession session, String reason) {
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            mFlow.onRunLost(task, reason);
        }
    }

    private void onEnds(MinionSession session, List<EndedTask> ends) {
        for (EndedTask ended : ends) {
            if (ended.number() > session.mLastProcessedEnd) {
                session.mLastProcessedEnd = ended.number();
                mFlow.onRunEnded(session, ended);
            }
        }
    }

    private void onRunning(MinionSession session, RunListing listing, long sentNanos) {
        Set<String> runs = new HashSet<>();
        for (RunningTask running : listing.running()) {
            if (compare(session, running)) {
                runs.add(running.task());
            }
        }
        if (listing.ended().size() >= MAX_ENDS) {
            return;
        }
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            if (!runs.contains(task.mName)) {
                onMissing(task, sentNanos);
            }
        }
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            if (task.mPhase == TaskPhase.STOPPING) {
                mFlow.retryStop(task, sentNanos);
            }
        }
    }

    /** Returns whether the run is the one that is counted on. */
    private boolean compare(MinionSession session, RunningTask running) {
        TaskEntry task = mState.task(running.task());
        if (task == null) {
            mFlow.stopOrphan(session, running.task(), running.run());
            return false;
        }
        if (task.mMinion == session && task.mRun == running.run()) {
            confirm(task, running);
            return true;
        }
        boolean isOpen = !task.mStep.mJob.mState.isFinal();
        boolean isNewest = running.run() >= task.mRun && task.mPhase == TaskPhase.WAITING;
        if (isOpen && isNewest) {
            mFlow.adopt(task, session, running.run());
            confirm(task, running);
            return true;
        }
        mFlow.stopOrphan(session, running.task(), running.run());
        return false;
    }

    private void confirm(TaskEntry task, RunningTask running) {
        if (task.mPhase == TaskPhase.STARTING) {
            task.mPhase = TaskPhase.RUNNING;
            task.mAckedNanos = mContext.calls().nanoTime();
        }
        task.mStartUnansweredNanos = 0;
        task.mSharePercent = running.percent();
        task.mLoad = running.load();
        if (!running.checkpoint().isEmpty()) {
            task.mCheckpoint = running.checkpoint();
        }
    }

    private void onMissing(TaskEntry task, long sentNanos) {
        boolean isUncertain =
                task.mStartUnansweredNanos != 0 && task.mStartUnansweredNanos - sentNanos < 0;
        switch (task.mPhase) {
            case STARTING -> {
                if (isUncertain) {
                    mFlow.stop(task, "start not answered");
                }
            }
            case RUNNING -> {
                if (task.mAckedNanos - sentNanos < 0) {
                    mFlow.onRunLost(task, "not listed");
                }
            }
            case STOPPING -> {
                if (task.mStopAcked && task.mAckedNanos - sentNanos < 0) {
                    mFlow.onRunLost(task, "stopped");
                }
            }
            default -> {}
        }
    }
}
