package org.endivetray.daemon.job.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.WorkerAdmin.WorkerOrderOutcome;
import org.endivetray.policy.job.RebalancePolicy;

/**
 * The move of one idle worker to another pool, from the drain request until the outcome of the
 * order is known.
 *
 * <p>A move whose worker is not empty yet, or whose order is refused, is given up. Once an order
 * was left without an answer, it may be carried out at any later time, so the worker is kept
 * drained and the order is repeated until an answer or the list of workers shows that it was
 * carried out.
 *
 * <p>Invariants: an order is given only while nothing runs on the worker, as the owner of the
 * pool's shard has confirmed, and nothing will be started.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class WorkerMove {
    private static final Logger LOGGER = System.getLogger(WorkerMove.class.getName());

    /** Delay before an order that was not answered is repeated. */
    private static final long RETRY_MILLIS = 200;

    private final FleetContext mContext;
    private final RebalancePolicy.Move mMove;
    private final MinionDrain mDrain;
    private final Condition mOwner;
    private final RecentOrders mOrders;
    private final Listener mListener;

    /** Time of the latest order, 0 if there is none. */
    private long mOrderedNanos;

    private boolean mIsOrdering;
    private boolean mWasUnanswered;
    private boolean mIsEnded;

    /** Is notified of the progress of a move. */
    interface Listener {
        /** Returns whether no more orders may be given. */
        boolean isStopped();

        /** Called when an order has been answered or its answer is overdue. */
        void onOrdered(RebalancePolicy.Move move, long orderedNanos);

        /** Called once at the end of a move, with whether the worker was moved. */
        void onEnded(RebalancePolicy.Move move, boolean isMoved);
    }

    /**
     * Constructs a move that has not started.
     *
     * @param context the services and settings to use, not null
     * @param move the worker and the two pools, not null
     * @param minion id of the minion that runs on the worker, empty if there is none
     * @param owner the key and version under which this daemon is the fleet owner, not null
     * @param orders records workers before they are given orders, not null
     * @param listener notified of the progress, not null
     */
    WorkerMove(
            FleetContext context,
            RebalancePolicy.Move move,
            String minion,
            Condition owner,
            RecentOrders orders,
            Listener listener) {
        mContext = context;
        mMove = move;
        mDrain = new MinionDrain(context, move.from(), minion);
        mOwner = owner;
        mOrders = orders;
        mListener = listener;
    }

    /** Returns the id of the worker. */
    String worker() {
        return mMove.worker();
    }

    /** Drains the worker, then orders the move. */
    void start() {
        if (mIsEnded || mListener.isStopped()) {
            return;
        }
        mDrain.request(
                false,
                () -> {
                    if (mDrain.isEmpty()) {
                        recordOrder();
                    } else {
                        giveUp();
                    }
                });
    }

    private void recordOrder() {
        mContext.executor()
                .onComplete(
                        mOrders.recordOrder(worker()),
                        (ignored, cause) -> {
                            // Recording may have taken so long that the drain has expired.
                            if (cause == null
                                    && mDrain.isEmpty()
                                    && mContext.isLeaseValid().getAsBoolean()) {
                                order();
                            } else {
                                giveUp();
                            }
                        });
    }

    private void order() {
        if (mIsEnded || mListener.isStopped()) {
            return;
        }
        mOrderedNanos = mContext.executor().nanoTime();
        mIsOrdering = true;
        mContext.executor().schedule(MinionDrain.INTERVAL_MILLIS, this::keepDrained);
        mContext.executor()
                .onComplete(
                        mContext.workerAdmin()
                                .move(worker(), mMove.to(), mContext.name(), mOwner.version()),
                        (outcome, cause) -> onOutcome(outcome));
    }

    /** Keeps the worker drained until the order is answered. */
    private void keepDrained() {
        if (mIsOrdering && !mListener.isStopped()) {
            mDrain.request(false, () -> {});
            mContext.executor().schedule(MinionDrain.INTERVAL_MILLIS, this::keepDrained);
        }
    }

    private void onOutcome(WorkerOrderOutcome outcome) {
        mIsOrdering = false;
        LOGGER.log(
                Level.INFO,
                "fleet: move worker={0} from={1} to={2} outcome={3}",
                worker(),
                mMove.from(),
                mMove.to(),
                outcome);
        mListener.onOrdered(mMove, mOrderedNanos);
        if (outcome == WorkerOrderOutcome.DONE) {
            end(true);
            return;
        }
        mWasUnanswered |= outcome == WorkerOrderOutcome.UNKNOWN;
        giveUp();
    }

    /** Ends the move, unless an order may still be carried out. */
    private void giveUp() {
        if (mWasUnanswered && !mListener.isStopped()) {
            mContext.executor().schedule(RETRY_MILLIS, this::start);
        } else {
            end(false);
        }
    }

    /**
     * Ends the move if the list of workers shows that it was carried out or that the worker is
     * gone.
     *
     * @param info the worker as listed, null if it is not listed
     * @param sentNanos time of the monotonic clock at which the list was requested, in nanoseconds
     */
    void onListed(WorkerInfo info, long sentNanos) {
        if (mWasUnanswered && sentNanos - mOrderedNanos > 0) {
            boolean isMoved = info != null && info.pool().equals(mMove.to());
            if (info == null || isMoved) {
                end(isMoved);
            }
        }
    }

    private void end(boolean isMoved) {
        if (mIsEnded) {
            return;
        }
        mIsEnded = true;
        if (isMoved) {
            mDrain.notifyTerminated();
        }
        mListener.onEnded(mMove, isMoved);
    }
}
