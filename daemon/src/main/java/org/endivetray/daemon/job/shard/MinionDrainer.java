package org.endivetray.daemon.job.shard;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.SchedulerExecutor;

/**
 * Drains minions before planned outages, without making more long-running tasks of a step
 * unavailable than the step allows.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionDrainer {
    /**
     * Time after which a request expires. This is several times the interval at which requests are
     * repeated.
     */
    private static final long REQUEST_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final SchedulerExecutor mExecutor;
    private final ShardState mState;
    private final TaskLifecycle mLifecycle;

    MinionDrainer(SchedulerExecutor executor, ShardState state, TaskLifecycle lifecycle) {
        mExecutor = executor;
        mState = state;
        mLifecycle = lifecycle;
    }

    /**
     * Requests that a minion be drained; the request expires unless it is repeated.
     *
     * @param id id of the minion, not null
     * @param isUrgent whether tasks that are not long-running are stopped too instead of being left
     *     to end
     * @return start of the minion's incarnation, in milliseconds since 1970, 0 if not reported;
     *     empty unless it is known to run nothing
     */
    OptionalLong request(String id, boolean isUrgent) {
        MinionSession minion = mState.mMinions.get(id);
        if (minion == null) {
            return OptionalLong.empty();
        }
        long now = mExecutor.nanoTime();
        if (!minion.isDrainRequested(now)) {
            minion.mDrainSinceNanos = now;
        }
        minion.mDrainUntilNanos = now + REQUEST_TTL_NANOS;
        minion.mIsDrainUrgent = isUrgent;
        return minion.isKnownEmpty()
                ? OptionalLong.of(minion.incarnationMillis())
                : OptionalLong.empty();
    }

    /**
     * Stops the tasks that may be stopped now on the minions to be drained. The minion that has
     * waited longest goes first, so that later ones do not use up the outages that the steps of its
     * tasks allow.
     */
    void tick(long nowNanos) {
        mState.mMinions.values().stream()
                .filter(minion -> minion.isDrainRequested(nowNanos) || minion.info().draining())
                .sorted(Comparator.comparingLong(minion -> minion.mDrainSinceNanos - nowNanos))
                .forEach(minion -> stopTasks(minion, nowNanos));
    }

    private void stopTasks(MinionSession minion, long nowNanos) {
        for (TaskEntry task : List.copyOf(minion.tasks().values())) {
            if (task.mPhase != TaskPhase.RUNNING) {
                continue;
            }
            boolean isLongRunning = task.mStep.mSpec.longRunning();
            if (isLongRunning && mayStop(task, nowNanos)) {
                mLifecycle.stop(task, "drain");
            } else if (!isLongRunning
                    && minion.mIsDrainUrgent
                    && minion.isDrainRequested(nowNanos)) {
                mLifecycle.stop(task, "drain");
            }
        }
    }

    private static boolean mayStop(TaskEntry task, long nowNanos) {
        int otherUnavailable =
                task.mStep.countUnavailable(nowNanos) - (task.isAvailable(nowNanos) ? 0 : 1);
        return otherUnavailable < task.mStep.mSpec.maxUnavailable();
    }
}
