package org.endivetray.daemon.job.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.WorkerAdmin.WorkerOrderOutcome;

/**
 * The planned outage of one worker of a maintenance wave, from the first drain request until the
 * worker is up again.
 *
 * <p>Invariants: the maintenance order is given only while nothing runs on the worker and nothing
 * will be started, and is repeated until it is answered as done, since an order without an answer
 * may be carried out long after it was sent; a minion is reported as terminated only if the list of
 * workers shows it.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class WorkerOutage {
    private static final Logger LOGGER = System.getLogger(WorkerOutage.class.getName());

    /** Time between requests to drain a worker. */
    private static final long DRAIN_INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(MinionDrain.INTERVAL_MILLIS);

    /**
     * Time after which a drain becomes urgent, so that tasks that are not long-running are stopped;
     * several times the duration of a usual task.
     */
    private static final long URGENT_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /**
     * Time after the answer to an order after which a worker that is listed as up with the same
     * minion had its maintenance before, since the list shows a maintenance that has just begun.
     */
    private static final long DONE_BEFORE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final FleetContext mContext;
    private final Order mOrder;
    private final boolean mWasPinned;
    private final RecentOrders mOrders;
    private final Listener mListener;
    private final long mStartNanos;
    private MinionDrain mDrain;
    private long mNextDrainNanos;

    /** Time of the latest maintenance order, 0 if there is none. */
    private long mOrderedNanos;

    /** Time at which the order was answered as done. */
    private long mDoneNanos;

    private boolean mIsOrdering;
    private boolean mIsOrderDone;
    private boolean mWasSeenDown;
    private boolean mIsOver;

    /** The wave to which an outage belongs. */
    interface Listener {
        /** Returns whether the wave has been given up, so that no more orders may be given. */
        boolean isStopped();

        /** Called when a worker's maintenance has certainly started. */
        void onMaintenanceStarted(String worker);
    }

    /**
     * The maintenance order for a worker.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param worker id of the worker, not null
     * @param wave number of the wave
     * @param token the fleet owner's fencing token
     */
    record Order(String worker, long wave, long token) {}

    /**
     * Constructs an outage that has not started.
     *
     * @param context the services and settings to use, not null
     * @param order the maintenance order to give, not null
     * @param wasPinned whether long-running tasks run on the worker
     * @param orders records workers before they are given orders, not null
     * @param listener the wave, not null
     */
    WorkerOutage(
            FleetContext context,
            Order order,
            boolean wasPinned,
            RecentOrders orders,
            Listener listener) {
        mContext = context;
        mOrder = order;
        mWasPinned = wasPinned;
        mOrders = orders;
        mListener = listener;
        mStartNanos = context.executor().nanoTime();
    }

    String worker() {
        return mOrder.worker();
    }

    /** Returns whether long-running tasks ran on the worker when the outage was planned. */
    boolean wasPinned() {
        return mWasPinned;
    }

    /** Returns the time since the outage was planned, in milliseconds. */
    long elapsedMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mStartNanos);
    }

    /**
     * Requests that the worker be drained, when due, and orders its maintenance once it is empty.
     * It is kept drained while an order may still be carried out.
     *
     * @param info the worker as listed last, null if it is not listed
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void tick(WorkerInfo info, long nowNanos) {
        if (nowNanos - mNextDrainNanos < 0 || mListener.isStopped()) {
            return;
        }
        mNextDrainNanos = nowNanos + DRAIN_INTERVAL_NANOS;
        boolean isUrgent = nowNanos - mStartNanos >= URGENT_DRAIN_NANOS;
        if (mIsOrdering || mIsOrderDone) {
            if (mDrain != null) {
                mDrain.request(isUrgent, () -> {});
            }
            return;
        }
        if (info == null || !info.status().acceptsOrders()) {
            return;
        }
        if (mDrain == null || !mDrain.isOf(info.pool(), info.minion())) {
            mDrain = new MinionDrain(mContext, info.pool(), info.minion());
        }
        MinionDrain drain = mDrain;
        drain.request(isUrgent, () -> recordOrder(drain));
    }

    private boolean mayOrder(MinionDrain drain) {
        return !mIsOrdering
                && !mIsOrderDone
                && !mListener.isStopped()
                && drain == mDrain
                && drain.isEmpty();
    }

    private void recordOrder(MinionDrain drain) {
        if (!mayOrder(drain)) {
            return;
        }
        mIsOrdering = true;
        mContext.executor()
                .onComplete(
                        mOrders.recordOrder(worker()),
                        (ignored, cause) -> {
                            mIsOrdering = false;
                            // Recording may have taken so long that the drain has expired.
                            if (cause == null && mayOrder(drain)) {
                                order();
                            }
                        });
    }

    private void order() {
        if (!mContext.isLeaseValid().getAsBoolean()) {
            return;
        }
        mOrderedNanos = mContext.executor().nanoTime();
        mIsOrdering = true;
        mContext.executor()
                .onComplete(
                        mContext.workerAdmin()
                                .startMaintenance(
                                        worker(), mOrder.wave(), mContext.name(), mOrder.token()),
                        (outcome, cause) -> onOutcome(outcome));
    }

    private void onOutcome(WorkerOrderOutcome outcome) {
        mIsOrdering = false;
        long now = mContext.executor().nanoTime();
        LOGGER.log(
                Level.INFO,
                "wave: maintenance wave={0} worker={1} minion={2} outcome={3} waited={4}ms",
                Long.toString(mOrder.wave()),
                worker(),
                mDrain == null ? "" : mDrain.minion(),
                outcome,
                Long.toString(elapsedMillis(now)));
        if (outcome == WorkerOrderOutcome.DONE) {
            mIsOrderDone = true;
            mDoneNanos = now;
            mListener.onMaintenanceStarted(worker());
        }
    }

    /**
     * Updates the outage with the worker as listed.
     *
     * <p>An order is also answered as done if the maintenance was carried out before, so the answer
     * doesn't say that the present minion has terminated. Only a list that was requested after the
     * order says that.
     *
     * @param info the worker as listed, null if it is not listed
     * @param sentNanos time of the monotonic clock at which the list was requested, in nanoseconds
     */
    void onListed(WorkerInfo info, long sentNanos) {
        boolean isUp = info != null && info.status().acceptsOrders();
        boolean isAfterOrder = mOrderedNanos != 0 && sentNanos - mOrderedNanos > 0;
        boolean hasOtherMinion = mDrain == null || isUp && !info.minion().equals(mDrain.minion());
        if (isAfterOrder && mDrain != null && (!isUp || hasOtherMinion)) {
            mDrain.notifyTerminated();
            mDrain = null;
        }
        boolean isAfterAnswer = mIsOrderDone && sentNanos - mDoneNanos > 0;
        mWasSeenDown |= isAfterAnswer && !isUp;
        boolean wasDoneBefore = isAfterAnswer && sentNanos - mDoneNanos >= DONE_BEFORE_NANOS;
        boolean isBack = isAfterAnswer && isUp;
        mIsOver = info == null || isBack && (mWasSeenDown || hasOtherMinion || wasDoneBefore);
    }

    /** Returns whether the worker is up again after its maintenance or is no longer listed. */
    boolean isOver() {
        return mIsOver;
    }
}
