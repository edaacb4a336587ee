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
 * <p>Invariants: the maintenance order is given only once nothing runs on the worker, and is
 * repeated until it is answered as done, since an order without an answer may be carried out long
 * after it was sent.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class WorkerOutage {
    private static final Logger LOGGER = System.getLogger(WorkerOutage.class.getName());

    /** Time between requests to drain a worker. */
    private static final long DRAIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Time after which a drain becomes urgent, so that tasks that are not long-running are stopped;
     * several times the duration of a usual task.
     */
    private static final long URGENT_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    private final FleetContext mContext;
    private final Order mOrder;
    private final boolean mWasPinned;
    private final RecentOrders mOrders;
    private final Listener mListener;
    private final long mStartNanos;
    private String mPool = "";
    private String mMinion = "";
    private long mNextDrainNanos;

    /** Time of the latest maintenance order, 0 if there is none. */
    private long mOrderedNanos;

    private boolean mIsRequestInFlight;
    private boolean mIsOrderDone;
    private boolean mWasSeenDown;

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
     *
     * @param info the worker as listed last, null if it is not listed
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void tick(WorkerInfo info, long nowNanos) {
        boolean isDue = nowNanos - mNextDrainNanos >= 0;
        if (mIsRequestInFlight || mIsOrderDone || !isDue || mListener.isStopped()) {
            return;
        }
        mNextDrainNanos = nowNanos + DRAIN_INTERVAL_NANOS;
        if (info == null || !info.status().acceptsOrders()) {
            return;
        }
        mPool = info.pool();
        mMinion = info.minion();
        mIsRequestInFlight = true;
        if (!mContext.hasJobs().test(mPool)) {
            recordOrder();
            return;
        }
        boolean isUrgent = nowNanos - mStartNanos >= URGENT_DRAIN_NANOS;
        mContext.executor()
                .onComplete(
                        mContext.owners().drain(mPool, mMinion, isUrgent),
                        (reply, cause) -> {
                            mIsRequestInFlight = false;
                            if (cause == null && reply.isIsEmpty() && !mListener.isStopped()) {
                                recordOrder();
                            }
                        });
    }

    private void recordOrder() {
        mIsRequestInFlight = true;
        mContext.executor()
                .onComplete(
                        mOrders.recordOrder(worker()),
                        (ignored, cause) -> {
                            mIsRequestInFlight = false;
                            if (cause == null && !mListener.isStopped()) {
                                order();
                            }
                        });
    }

    private void order() {
        if (!mContext.isLeaseValid().getAsBoolean()) {
            return;
        }
        mOrderedNanos = mContext.executor().nanoTime();
        mIsRequestInFlight = true;
        mContext.executor()
                .onComplete(
                        mContext.workerAdmin()
                                .startMaintenance(
                                        worker(), mOrder.wave(), mContext.name(), mOrder.token()),
                        (outcome, cause) -> onOutcome(outcome));
    }

    private void onOutcome(WorkerOrderOutcome outcome) {
        mIsRequestInFlight = false;
        LOGGER.log(
                Level.INFO,
                "wave: maintenance wave={0} worker={1} minion={2} outcome={3} waited={4}ms",
                Long.toString(mOrder.wave()),
                worker(),
                mMinion,
                outcome,
                Long.toString(elapsedMillis(mContext.executor().nanoTime())));
        if (outcome == WorkerOrderOutcome.DONE) {
            mIsOrderDone = true;
            mContext.owners().notifyMinionTerminated(mPool, mMinion);
            mListener.onMaintenanceStarted(worker());
        }
    }

    /**
     * Returns whether the worker is up again after its maintenance or is no longer listed.
     *
     * @param info the worker as listed last, null if it is not listed
     * @param sentNanos time of the monotonic clock at which the list was requested, in nanoseconds
     */
    boolean isOver(WorkerInfo info, long sentNanos) {
        if (info == null) {
            return true;
        }
        boolean isLater = mIsOrderDone && sentNanos - mOrderedNanos > 0;
        boolean isUp = info.status().acceptsOrders();
        mWasSeenDown |= isLater && !isUp;
        return isLater && isUp && (mWasSeenDown || !info.minion().equals(mMinion));
    }
}
