package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.JobState;
import org.endivetray.platform.MinionOrders.EndedTask;
import org.endivetray.platform.MinionOrders.OrderOutcome;
import org.endivetray.platform.MinionOrders.OrderReply;
import org.endivetray.platform.MinionOrders.StartOrder;
import org.endivetray.policy.job.DurationModel;

/**
 * Carries out the state transitions of a shard's tasks and jobs: starts, stops, ends and losses of
 * runs.
 *
 * <p>Invariants: at most one run of a task that this owner has started or adopted is not known to
 * have ended; a task never has two runs with the same number.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class TaskLifecycle {
    private static final Logger LOGGER = System.getLogger(TaskLifecycle.class.getName());

    /** Delay before a refused start is tried again. This is two round trips. */
    private static final long START_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Time for which a minion that refused a start for lack of room gets no starts. */
    private static final long NO_ROOM_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ShardContext mContext;
    private final ShardState mState;
    private final ProgressWriter mProgressWriter;
    private final DurationModel mDurations;
    private final MinionQuarantine mQuarantine;
    private final StopOrders mStops;
    private final Runnable mOnFenced;

    TaskLifecycle(
            ShardContext context,
            ShardState state,
            BatchWriter writer,
            DurationModel durations,
            Runnable onFenced) {
        mContext = context;
        mState = state;
        mProgressWriter = new ProgressWriter(context.executor(), state, writer);
        mDurations = durations;
        mQuarantine = new MinionQuarantine(state);
        mStops = new StopOrders(context, onFenced);
        mOnFenced = onFenced;
    }

    /**
     * Orders a minion to start a task.
     *
     * @param task a waiting task, not null
     * @param minion the minion, not null
     * @param ticket permission of the placement advisor, empty if none is needed
     */
    void start(TaskEntry task, MinionSession minion, String ticket) {
        long now = mContext.executor().nanoTime();
        JobEntry job = task.mStep.mJob;
        task.mOwnRun = ++task.mRun;
        task.mPhase = TaskPhase.STARTING;
        task.mStep.mWaitingCount--;
        task.mStartSentNanos = now;
        task.mStartUnansweredNanos = 0;
        task.mStopAcked = false;
        task.mSharePercent = 0;
        minion.assign(task);
        minion.mStartsInFlight++;
        int run = task.mRun;
        String reason = task.startReason();
        long token = minion.mFence.onStart();
        StartOrder order =
                new StartOrder(
                        task.mName,
                        run,
                        job.mStored.spec().payload(),
                        task.mCheckpoint,
                        ticket,
                        minion.extendLease(mContext.limits().maxLeaseMillis(), now),
                        token);
        mContext.executor()
                .onComplete(
                        mContext.minions().start(minion.info(), order),
                        (reply, cause) -> onStartReply(task, minion, order, reason, reply));
    }

    private void onStartReply(
            TaskEntry task,
            MinionSession minion,
            StartOrder order,
            String reason,
            OrderReply reply) {
        long now = mContext.executor().nanoTime();
        int run = order.run();
        minion.mStartsInFlight--;
        mState.mNeedsDispatch = true;
        OrderOutcome outcome = reply.outcome();
        mContext.metrics().onStartOrder(mState.mPool, outcome.name());
        LOGGER.log(
                Level.INFO,
                "place: start {0} task={1} run={2} minion={3} token={4} reason={5} millis={6}",
                outcome,
                task.mName,
                Integer.toString(run),
                minion.id(),
                Long.toString(order.token()),
                reason,
                Long.toString(TimeUnit.NANOSECONDS.toMillis(now - task.mStartSentNanos)));
        if (minion.mFence.isLost(outcome, order.token())) {
            mOnFenced.run();
            return;
        }
        if (outcome == OrderOutcome.DONE) {
            markStarted(task.mStep.mJob, now);
        }
        boolean isCurrent = task.mMinion == minion && task.mRun == run;
        if (!isCurrent) {
            return;
        }
        if (outcome == OrderOutcome.DONE) {
            task.mStartUnansweredNanos = 0;
            confirmStart(task, now);
        } else if (outcome == OrderOutcome.UNKNOWN) {
            task.mStartUnansweredNanos = now;
        } else {
            onStartRefused(task, minion, outcome, now);
        }
    }

    /** Records that the minion has confirmed the current run of a task. */
    void confirmStart(TaskEntry task, long nowNanos) {
        task.mAckedNanos = nowNanos;
        if (task.mPhase == TaskPhase.STARTING) {
            task.mPhase = TaskPhase.RUNNING;
            markStarted(task.mStep.mJob, nowNanos);
        }
    }

    /**
     * Marks a job as running. An order that no minion has confirmed may never be carried out, so it
     * leaves the job queued.
     */
    private void markStarted(JobEntry job, long nowNanos) {
        if (!job.hasStarted()) {
            job.mState = JobState.RUNNING;
            job.mStoredState = JobState.RUNNING;
            mContext.metrics().onFirstStart(nowNanos - job.mAcceptedNanos);
        }
    }

    private void onStartRefused(
            TaskEntry task, MinionSession minion, OrderOutcome outcome, long now) {
        release(task, outcome.name());
        task.mNotBeforeNanos = now + START_RETRY_NANOS;
        switch (outcome) {
            case NO_ROOM -> minion.mNoRoomUntilNanos = now + NO_ROOM_NANOS;
            case NO_TICKET -> {
                if (task.mStep.mTickets != null) {
                    task.mStep.mTickets.discard(minion.id());
                }
            }
            case UNHEALTHY -> mQuarantine.onRefusal(minion, now);
            case OTHER_INCARNATION -> minion.mIsResponding = false;
            default -> {}
        }
    }

    /**
     * Stops the current run of a task.
     *
     * @param task a task that occupies a minion, not null
     * @param reason why, for the log, not null
     */
    void stop(TaskEntry task, String reason) {
        LOGGER.log(
                Level.INFO,
                "place: stop task={0} run={1} minion={2} reason={3}",
                task.mName,
                Integer.toString(task.mRun),
                task.mMinion.id(),
                reason);
        task.mPhase = TaskPhase.STOPPING;
        task.mStopAcked = false;
        mStops.send(task);
    }

    /** Stops a stalled task and counts it as a failure on its minion. */
    void onStalled(TaskEntry task, long nowNanos) {
        mQuarantine.onFailed(task.mMinion, task.mStartSentNanos, nowNanos);
        stop(task, "stalled");
    }

    /** Sends an unanswered stop again, once the delay has passed. */
    void retryStop(TaskEntry task, long nowNanos) {
        mStops.retry(task, nowNanos);
    }

    /** Stops a run that this owner does not track or no longer needs. */
    void stopOrphan(MinionSession minion, String task, int run) {
        mStops.sendForOrphan(minion, task, run);
    }

    /**
     * Adopts a run that a minion has listed, but this owner has not started, as the current run of
     * its task.
     */
    void adopt(TaskEntry task, MinionSession minion, int run) {
        task.onRunAdopted(run);
        task.mPhase = TaskPhase.RUNNING;
        task.mStep.mWaitingCount--;
        task.mStartSentNanos = mContext.executor().nanoTime();
        task.mAckedNanos = task.mStartSentNanos;
        task.mStopAcked = false;
        minion.assign(task);
        LOGGER.log(
                Level.INFO,
                "place: adopted task={0} run={1} minion={2}",
                task.mName,
                Integer.toString(run),
                minion.id());
        markStarted(task.mStep.mJob, task.mStartSentNanos);
    }

    /**
     * Records that the current run of a task no longer exists, so that the task may be started
     * again.
     */
    void onRunLost(TaskEntry task, String reason) {
        LOGGER.log(
                Level.INFO,
                "place: run lost task={0} run={1} minion={2} reason={3}",
                task.mName,
                Integer.toString(task.mRun),
                task.mMinion.id(),
                reason);
        release(task, reason);
    }

    /** Removes a task from its minion, so that it waits to be started again. */
    private void release(TaskEntry task, String outcome) {
        task.mMinion.release(task);
        task.mLastOutcome = outcome;
        task.mPhase = TaskPhase.WAITING;
        task.mStartUnansweredNanos = 0;
        task.mStep.mWaitingCount++;
        mState.mNeedsDispatch = true;
        unloadIfEnded(task.mStep.mOccurrence);
    }

    /** Unloads an occurrence of a job that has ended, once none of its runs can exist. */
    private void unloadIfEnded(OccurrenceEntry occurrence) {
        if (occurrence.mJob.mState.isFinal() && occurrence.mAssignedTasks == 0) {
            mState.unload(occurrence);
        }
    }

    /** Records the end of a run. */
    void onRunEnded(MinionSession minion, EndedTask ended) {
        TaskEntry task = mState.task(ended.task());
        mContext.metrics().onRunEnd(mState.mPool, ended.end().name());
        LOGGER.log(
                Level.INFO,
                "place: ended {0} task={1} run={2} minion={3}",
                ended.end(),
                ended.task(),
                Integer.toString(ended.run()),
                minion.id());
        if (task == null) {
            return;
        }
        long now = mContext.executor().nanoTime();
        markStarted(task.mStep.mJob, now);
        boolean isCurrent = task.mMinion == minion && task.mRun == ended.run();
        long workedNanos = now - task.mAckedNanos;
        if (isCurrent) {
            release(task, ended.end().name());
        }
        task.onRunKnown(ended.run());
        if (task.mPhase == TaskPhase.DONE) {
            return;
        }
        switch (ended.end()) {
            case DONE -> {
                if (isCurrent && task.mCheckpoint.isEmpty()) {
                    mDurations.onDone(
                            task.mStep.kind(),
                            TimeUnit.NANOSECONDS.toMillis(workedNanos),
                            NearPlaces.isAway(task.mStep, minion, mState));
                }
                mQuarantine.onDone(minion);
                onDone(task, ended.run(), isCurrent);
            }
            case FAILED -> onFailed(task, minion, ended.run(), isCurrent, now);
            default -> saveCheckpoint(task, ended.checkpoint());
        }
    }

    private void saveCheckpoint(TaskEntry task, String checkpoint) {
        if (!checkpoint.isEmpty() && !task.mStep.mJob.mState.isFinal()) {
            task.saveCheckpoint(checkpoint);
            mProgressWriter.store(task.mStep.mJob, false);
        }
    }

    private void onDone(TaskEntry task, int run, boolean isCurrent) {
        JobEntry job = task.mStep.mJob;
        if (task.mStep.mSpec.longRunning()) {
            return;
        }
        // The other tasks of the same run of a gang have ended with this one.
        for (TaskEntry member : Gang.sharingOutcome(task)) {
            if (member.mMinion != null) {
                if (!isCurrent || member.mRun != run) {
                    stopOrphan(member.mMinion, member.mName, member.mRun);
                }
                release(member, "done in another run");
            }
            if (member.mPhase != TaskPhase.DONE) {
                member.markDone();
            }
        }
        mState.mNeedsDispatch = true;
        mState.unloadIfDone(task.mStep.mOccurrence);
        if (job.isDone() && !job.mState.isFinal()) {
            finish(job, JobState.COMPLETED);
        } else {
            mProgressWriter.store(job, false);
        }
    }

    private void onFailed(
            TaskEntry task, MinionSession minion, int run, boolean isCurrent, long now) {
        JobEntry job = task.mStep.mJob;
        boolean isCounted = !task.mStep.mSpec.longRunning();
        if (isCounted && !Gang.recordFailure(task, run)) {
            return;
        }
        if (isCurrent) {
            mQuarantine.onFailed(minion, task.mStartSentNanos, now);
        }
        if (!isCounted || job.mState.isFinal()) {
            return;
        }
        if (task.mFailedRuns.size() >= job.mStored.queue().attempts()) {
            finish(job, JobState.FAILED);
        } else {
            mProgressWriter.store(job, false);
        }
    }

    /**
     * Ends a job: no more tasks of it are started and its runs are stopped.
     *
     * @param job the job, not null
     * @param state the final state, not null
     */
    void finish(JobEntry job, JobState state) {
        job.mState = state;
        job.mEndedMillis = mContext.executor().currentTimeMillis();
        mState.mActiveJobs.remove(job.mId);
        LOGGER.log(Level.INFO, "job: ended job={0} state={1}", job.mId, state);
        for (OccurrenceEntry occurrence : List.copyOf(job.loadedOccurrences())) {
            for (TaskEntry task : occurrence.tasks()) {
                if (task.mPhase == TaskPhase.STARTING || task.mPhase == TaskPhase.RUNNING) {
                    stop(task, state.name());
                }
            }
            unloadIfEnded(occurrence);
        }
        mProgressWriter.store(job, true);
    }
}
