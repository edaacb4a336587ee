package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.MinionOrders;

/**
 * Minions on a virtual clock that follow the platform's protocol and record the starts and ends of
 * runs.
 *
 * <p>This class is not thread-safe.
 */
final class VirtualMinions implements MinionOrders {
    private static final long DELAY_MILLIS = 1;
    private static final long TIMEOUT_MILLIS = 800;
    private static final long STOP_MILLIS = 100;
    private static final long RESTART_MILLIS = 900;
    private static final long MAX_LEASE_MILLIS = 6_000;

    private final VirtualExecutor mExecutor;
    private final Map<String, Minion> mMinions = new TreeMap<>();
    private final TreeSet<Long> mOwners = new TreeSet<>();

    /**
     * Time since an incarnation's first listing before which it carries out none of the {@link
     * Minion#mLateOrders}, in milliseconds; 0 if it carries them out without any listing.
     */
    long mListedBeforeLateOrdersMillis;

    final List<VirtualEnd> mAllEnds = new ArrayList<>();
    final List<Start> mStarts = new ArrayList<>();

    /** The orders of the starts that were carried out. */
    final List<StartOrder> mStartOrders = new ArrayList<>();

    int mListings;

    /** Whether minions list no run that is being stopped. */
    boolean mHidesStoppingRuns;

    /** Returns the checkpoint that a run of a task saves at once, empty for none. */
    UnaryOperator<String> mCheckpoint = task -> "";

    /** Determines how long a run takes and how it ends. */
    interface Behaviour {
        Outcome of(String task, int run);
    }

    record Outcome(long millis, TaskEnd end) {}

    /** A start that a minion carried out; the token is that of its owner's claim. */
    record Start(long millis, String minion, String task, int run, long token) {}

    Behaviour mBehaviour = (task, run) -> new Outcome(500, TaskEnd.DONE);

    /** Time in which a run starts up and is listed below its full share, in milliseconds. */
    long mStartupMillis;

    VirtualMinions(VirtualExecutor executor) {
        mExecutor = executor;
    }

    /**
     * Adds a minion.
     *
     * @param id id of the minion, not null
     * @param pool pool that it belongs to, not null
     * @param cpuMillis its CPU, in thousandths of a core
     */
    MinionInfo add(String id, String pool, int cpuMillis) {
        return add(id, pool, cpuMillis, "r1");
    }

    /** Adds a minion in a rack. */
    MinionInfo add(String id, String pool, int cpuMillis, String rack) {
        MinionInfo info =
                new MinionInfo(
                        id, pool, id, 1, "z", false, cpuMillis, 64_000, 0, List.of("a", rack), 1);
        mMinions.put(id, new Minion(info));
        return info;
    }

    /** Adds an owner, whose orders carry its token or higher ones up to that of the next owner. */
    void addOwner(long token) {
        mOwners.add(token);
    }

    private long ownerOf(long token) {
        Long owner = mOwners.floor(token);
        return owner == null ? token : owner;
    }

    Minion minion(String id) {
        return mMinions.get(id);
    }

    Iterable<Minion> all() {
        return mMinions.values();
    }

    private <T> Future<T> deliver(
            MinionInfo info,
            LateOrders.Kind kind,
            long token,
            Function<Minion, T> order,
            T unknown) {
        Promise<T> promise = Promise.promise();
        Minion minion = mMinions.get(info.id());
        if (minion.isUnreachableFor(token)) {
            mExecutor.schedule(TIMEOUT_MILLIS, () -> promise.complete(unknown));
        } else if (minion.mLateOrders.isNextDelayed(kind)) {
            minion.mLateOrders.carryOut(kind, () -> promise.tryComplete(order.apply(minion)));
            mExecutor.schedule(TIMEOUT_MILLIS, () -> promise.tryComplete(unknown));
        } else if (minion.mOrderDelayMillis > 0) {
            mExecutor.schedule(minion.mOrderDelayMillis, () -> order.apply(minion));
            mExecutor.schedule(TIMEOUT_MILLIS, () -> promise.complete(unknown));
        } else {
            mExecutor.schedule(
                    DELAY_MILLIS,
                    () -> {
                        T reply = order.apply(minion);
                        mExecutor.schedule(DELAY_MILLIS, () -> promise.complete(reply));
                    });
        }
        return promise.future();
    }

    @Override
    public Future<OrderReply> start(MinionInfo info, StartOrder order) {
        return deliver(
                info,
                LateOrders.Kind.START,
                order.token(),
                minion -> new OrderReply(minion.start(order), minion.clock()),
                new OrderReply(OrderOutcome.UNKNOWN, 0));
    }

    @Override
    public Future<OrderReply> stop(MinionInfo info, String task, int run, long token) {
        return deliver(
                info,
                LateOrders.Kind.STOP,
                token,
                minion -> new OrderReply(minion.stop(task, run, token), minion.clock()),
                new OrderReply(OrderOutcome.UNKNOWN, 0));
    }

    @Override
    public Future<OrderReply> throttle(
            MinionInfo info, String task, int run, int percent, long token) {
        return deliver(
                info,
                LateOrders.Kind.THROTTLE,
                token,
                minion -> new OrderReply(OrderOutcome.DONE, minion.clock()),
                new OrderReply(OrderOutcome.UNKNOWN, 0));
    }

    @Override
    public Future<RunListing> renewRunLeases(MinionInfo info, LeaseOrder order) {
        Promise<RunListing> promise = Promise.promise();
        mListings++;
        Minion minion = mMinions.get(info.id());
        boolean isDelayed = minion.mLateOrders.isNextDelayed(LateOrders.Kind.LISTING);
        if (minion.isUnreachableFor(order.token()) || minion.mOrderDelayMillis > 0 || isDelayed) {
            if (isDelayed) {
                minion.mLateOrders.carryOut(LateOrders.Kind.LISTING, () -> minion.accept(order));
            }
            mExecutor.schedule(
                    TIMEOUT_MILLIS,
                    () -> promise.complete(RunListing.failed(OrderOutcome.UNKNOWN)));
            return promise.future();
        }
        long incarnation = minion.mIncarnation;
        mExecutor.schedule(
                DELAY_MILLIS,
                () ->
                        minion.renewLease(
                                order,
                                mExecutor.millis() + order.waitMillis(),
                                incarnation,
                                promise));
        return promise.future();
    }

    /** A minion and the runs on it. */
    final class Minion {
        final MinionInfo mInfo;
        final Map<String, VirtualRun> mRuns = new TreeMap<>();
        private final Map<String, Integer> mHighestRuns = new HashMap<>();
        private final VirtualEnds mEnds = new VirtualEnds();

        /** Highest token that the incarnation has seen. */
        long mToken;

        private long mLeaseMillis;
        private long mIncarnation = 1;

        /** Time at which the incarnation started, on the executor's clock, in milliseconds. */
        private long mBornMillis;

        /** Time at which the incarnation answered its first listing, negative if it has not. */
        private long mListedMillis = -1;

        final LateOrders mLateOrders = new LateOrders(mExecutor, this::mayCarryOutLate);
        boolean mIsUnreachable;
        private boolean mIsRestarting;
        private int mRestarts;

        /** Token of an owner that cannot reach the minion, 0 if there is none. */
        long mUnreachableToken;

        /**
         * Time after which orders are carried out, in milliseconds; unless it is 0, no order is
         * answered.
         */
        long mOrderDelayMillis;

        private Minion(MinionInfo info) {
            mInfo = info;
        }

        /** Returns whether nobody reaches the minion; one that restarts answers nobody. */
        private boolean isSilent() {
            return mIsUnreachable || mIsRestarting;
        }

        private boolean isUnreachableFor(long token) {
            return isSilent() || ownerOf(token) == mUnreachableToken;
        }

        /** Returns the incarnation's own clock, in milliseconds. */
        private long clock() {
            return mExecutor.millis() - mBornMillis;
        }

        private boolean mayCarryOutLate() {
            boolean isListed =
                    mListedMillis >= 0
                            && mExecutor.millis() - mListedMillis >= mListedBeforeLateOrdersMillis;
            return !mIsRestarting && (isListed || mListedBeforeLateOrdersMillis == 0);
        }

        /** Ends the minion and starts a new incarnation under the same id after a delay. */
        void restart() {
            mIsRestarting = true;
            mRuns.clear();
            mEnds.clear();
            int restart = ++mRestarts;
            mExecutor.schedule(
                    RESTART_MILLIS,
                    () -> {
                        if (restart == mRestarts) {
                            startNewIncarnation();
                        }
                    });
        }

        private void startNewIncarnation() {
            mRuns.clear();
            mHighestRuns.clear();
            mEnds.clear();
            mToken = 0;
            mLeaseMillis = 0;
            mIncarnation++;
            mBornMillis = mExecutor.millis();
            mListedMillis = -1;
            mIsUnreachable = false;
            mIsRestarting = false;
        }

        private OrderOutcome start(StartOrder order) {
            if (order.token() < mToken) {
                return OrderOutcome.FENCED;
            }
            mToken = order.token();
            VirtualRun present = mRuns.get(order.task());
            if (present != null && present.mRun == order.run()) {
                return OrderOutcome.DONE;
            }
            if (order.run() <= mHighestRuns.getOrDefault(order.task(), 0)) {
                return OrderOutcome.RUN_TOO_OLD;
            }
            if (order.leaseEndMillis() <= clock()) {
                return OrderOutcome.LEASE_TOO_OLD;
            }
            extend(order.leaseEndMillis());
            Outcome outcome = mBehaviour.of(order.task(), order.run());
            VirtualRun run =
                    new VirtualRun(
                            order.task(),
                            order.run(),
                            mExecutor.millis(),
                            mCheckpoint.apply(order.task()));
            mRuns.put(order.task(), run);
            mStartOrders.add(order);
            mStarts.add(
                    new Start(
                            mExecutor.millis(),
                            mInfo.id(),
                            order.task(),
                            order.run(),
                            ownerOf(order.token())));
            mExecutor.schedule(outcome.millis(), () -> end(run, outcome.end()));
            return OrderOutcome.DONE;
        }

        private void end(VirtualRun run, TaskEnd end) {
            if (mRuns.get(run.mTask) != run) {
                return;
            }
            mRuns.remove(run.mTask);
            mHighestRuns.merge(run.mTask, run.mRun, Math::max);
            mAllEnds.add(mEnds.add(mExecutor.millis(), run, end));
        }

        private OrderOutcome stop(String task, int run, long token) {
            if (token < mToken) {
                return OrderOutcome.FENCED;
            }
            mToken = token;
            mHighestRuns.merge(task, run, Math::max);
            VirtualRun present = mRuns.get(task);
            if (present != null && present.mRun == run) {
                present.mIsStopping = true;
                mExecutor.schedule(STOP_MILLIS, () -> end(present, TaskEnd.STOPPED));
            }
            return OrderOutcome.DONE;
        }

        private void extend(long leaseEndMillis) {
            mLeaseMillis =
                    Math.max(mLeaseMillis, Math.min(leaseEndMillis, clock() + MAX_LEASE_MILLIS));
            mExecutor.schedule(
                    Math.max(1, mLeaseMillis - clock()),
                    () -> {
                        if (clock() >= mLeaseMillis) {
                            mEnds.markLeaseExpired();
                            List.copyOf(mRuns.values())
                                    .forEach(run -> end(run, TaskEnd.LEASE_EXPIRED));
                        }
                    });
        }

        /** Carries out an order to renew the lease and returns whether it was not fenced. */
        private boolean accept(LeaseOrder order) {
            if (order.token() < mToken) {
                return false;
            }
            mToken = order.token();
            mEnds.acknowledge(order.lastSeenEnd());
            if (order.leaseEndMillis() > 0) {
                extend(order.leaseEndMillis());
            }
            return true;
        }

        private void renewLease(
                LeaseOrder order, long untilMillis, long incarnation, Promise<RunListing> promise) {
            // A connection ends with the incarnation that accepted it.
            if (isSilent() || incarnation != mIncarnation) {
                mExecutor.schedule(
                        TIMEOUT_MILLIS,
                        () -> promise.complete(RunListing.failed(OrderOutcome.UNKNOWN)));
                return;
            }
            if (!accept(order)) {
                promise.complete(RunListing.failed(OrderOutcome.FENCED));
                return;
            }
            if (mEnds.isEmpty() && mExecutor.millis() < untilMillis) {
                mExecutor.schedule(10, () -> renewLease(order, untilMillis, incarnation, promise));
                return;
            }
            mListedMillis = mListedMillis < 0 ? mExecutor.millis() : mListedMillis;
            RunListing listing =
                    new RunListing(
                            OrderOutcome.DONE,
                            clock(),
                            mIncarnation,
                            mRuns.values().stream()
                                    .filter(run -> !(run.mIsStopping && mHidesStoppingRuns))
                                    .map(run -> run.listed(mExecutor.millis(), mStartupMillis))
                                    .toList(),
                            mEnds.listed());
            mExecutor.schedule(DELAY_MILLIS, () -> promise.complete(listing));
        }
    }
}
