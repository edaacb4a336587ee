package org.endivetray.daemon.job.shard;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.platform.MinionOrders.EndedTask;
import org.endivetray.platform.MinionOrders.RunListing;
import org.endivetray.platform.MinionOrders.RunningTask;

/**
 * Reconciles the runs that a minion lists with the state of the shard's tasks.
 *
 * <p>Invariants: a run counts as ended only if its end is listed, or if it is missing after the
 * longest stop; a run that takes room on a minion is counted there, whoever has started it.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class RunReconciler {
    /** Most ends in one listing, as set by the platform's protocol. */
    private static final int MAX_ENDS = 500;

    private final ShardContext mContext;
    private final ShardState mState;
    private final TaskLifecycle mLifecycle;

    /** Longest time from the answer to a stop order until the run has ended. */
    private final long mLongestStopNanos;

    RunReconciler(ShardContext context, ShardState state, TaskLifecycle lifecycle) {
        mContext = context;
        mState = state;
        mLifecycle = lifecycle;
        double longestStopMillis = context.limits().stopMillis() * (1 + MinionSession.CLOCK_DRIFT);
        mLongestStopNanos = TimeUnit.MILLISECONDS.toNanos(Math.round(longestStopMillis));
    }

    /** Returns whether a listing names all ends that the minion holds, not just a page of them. */
    static boolean isWhole(RunListing listing) {
        return listing.ended().size() < MAX_ENDS;
    }

    /**
     * Handles a listing.
     *
     * @param session the minion that has answered, not null
     * @param listing its runs and their ends, not null
     * @param sentNanos time of the monotonic clock at which it was requested, in nanoseconds
     */
    void onListed(MinionSession session, RunListing listing, long sentNanos) {
        onRunsEnded(session, listing.ended());
        Set<String> confirmed = new HashSet<>();
        session.room().clearOrphans();
        for (RunningTask running : listing.running()) {
            if (reconcile(session, running)) {
                confirmed.add(running.task());
            } else {
                session.room()
                        .addOrphan(
                                running.task(),
                                mState.needsOf(running.task()),
                                mState.accountOf(running.task()));
                mLifecycle.stopOrphan(session, running.task(), running.run());
            }
        }
        if (!isWhole(listing)) {
            return;
        }
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            if (!confirmed.contains(task.mName)) {
                onNotListed(task, sentNanos);
            }
        }
        for (TaskEntry task : List.copyOf(session.tasks().values())) {
            if (task.mPhase == TaskPhase.STOPPING) {
                mLifecycle.retryStop(task, sentNanos);
            }
        }
    }

    private void onRunsEnded(MinionSession session, List<EndedTask> ends) {
        for (EndedTask ended : ends) {
            if (ended.number() > session.mLastProcessedEnd) {
                session.mLastProcessedEnd = ended.number();
                mLifecycle.onRunEnded(session, ended);
            }
        }
    }

    /** Reconciles a listed run and returns whether it is the current run of its task. */
    private boolean reconcile(MinionSession session, RunningTask running) {
        TaskEntry task = mState.task(running.task());
        if (task == null) {
            return false;
        }
        // Owners that don't know of each other's runs may number them in any order.
        boolean isCurrent = task.mMinion == session && task.mRun == running.run();
        boolean isJobActive = !task.mStep.mJob.mState.isFinal();
        if (!isCurrent && isJobActive && task.mPhase == TaskPhase.WAITING) {
            mLifecycle.adopt(task, session, running.run());
            isCurrent = true;
        }
        if (isCurrent) {
            confirm(task, running);
        }
        return isCurrent;
    }

    private void confirm(TaskEntry task, RunningTask running) {
        if (task.mPhase == TaskPhase.STARTING) {
            mLifecycle.confirmStart(task, mContext.executor().nanoTime());
        }
        task.mStartUnansweredNanos = 0;
        task.mSharePercent = running.percent();
        task.mLoad = running.load();
        if (!running.checkpoint().isEmpty()) {
            task.setCheckpoint(running.checkpoint());
        }
    }

    /**
     * Handles a task of whose current run neither the presence nor the end is listed. That alone
     * proves no end: a run may be missing while it is being stopped, and a listing proves nothing
     * about orders that were answered after it was requested. The run is stopped; it has certainly
     * ended if it is missing in a listing that was requested after the longest stop.
     */
    private void onNotListed(TaskEntry task, long sentNanos) {
        boolean isUnanswered =
                task.mStartUnansweredNanos != 0 && task.mStartUnansweredNanos - sentNanos < 0;
        switch (task.mPhase) {
            case STARTING -> {
                if (isUnanswered) {
                    mLifecycle.stop(task, "start not answered");
                }
            }
            case RUNNING -> {
                if (task.mAckedNanos - sentNanos < 0) {
                    mLifecycle.stop(task, "not listed");
                }
            }
            case STOPPING -> {
                if (task.mStopAcked && sentNanos - task.mAckedNanos >= mLongestStopNanos) {
                    mLifecycle.onRunLost(task, "stopped");
                }
            }
            default -> {}
        }
    }
}
