package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.MinionOrders;

/**
 * Minions on a virtual clock that keep the rules of the platform and record what they were told.
 *
 * <p>This class is not thread-safe.
 */
final class VirtualMinions implements MinionOrders {
    private static final long DELAY_MILLIS = 1;
    private static final long TIMEOUT_MILLIS = 800;
    private static final long STOP_MILLIS = 100;
    private static final long RESTART_MILLIS = 900;

    private final VirtualExecutor mCalls;
    private final Map<String, Minion> mMinions = new TreeMap<>();
    final List<Start> mStarts = new ArrayList<>();
    final List<End> mAllEnds = new ArrayList<>();

    /** How a task behaves: how long it runs and how it ends. */
    interface Behaviour {
        Outcome of(String task, int run);
    }

    record Outcome(long millis, TaskEnd end) {}

    /** A start as a minion carried it out. */
    record Start(long millis, String minion, String task, int run, long token) {}

    /** An end as a minion saw it; it counts once the owner has taken note of it. */
    static final class End {
        final long mMillis;
        final EndedTask mEnded;
        boolean mIsAcknowledged;

        /** Whether the lease ended before the end was noted; such an end never counts as noted. */
        private boolean mIsLapsed;

        private End(long millis, EndedTask ended) {
            mMillis = millis;
            mEnded = ended;
        }
    }

    Behaviour mBehaviour = (task, run) -> new Outcome(500, TaskEnd.DONE);

    VirtualMinions(VirtualExecutor calls) {
        mCalls = calls;
    }

    /** Adds a minion with room. */
    MinionInfo add(String id, String pool, int cpuMillis) {
        MinionInfo info =
                new MinionInfo(
                        id, pool, id, 1, "z", false, cpuMillis, 64_000, 0, List.of("a", "r1"), 1);
        mMinions.put(id, new Minion(info));
        return info;
    }

    Minion minion(String id) {
        return mMinions.get(id);
    }

    Iterable<Minion> all() {
        return mMinions.values();
    }

    private <T> Future<T> exchange(
            MinionInfo info, java.util.function.Function<Minion, T> order, T unknown) {
        Promise<T> promise = Promise.promise();
        Minion minion = mMinions.get(info.id());
        if (minion.mIsUnreachable) {
            mCalls.schedule(TIMEOUT_MILLIS, () -> promise.complete(unknown));
        } else if (minion.mOrderDelayMillis > 0) {
            mCalls.schedule(minion.mOrderDelayMillis, () -> order.apply(minion));
            mCalls.schedule(TIMEOUT_MILLIS, () -> promise.complete(unknown));
        } else {
            mCalls.schedule(
                    DELAY_MILLIS,
                    () -> {
                        T reply = order.apply(minion);
                        mCalls.schedule(DELAY_MILLIS, () -> promise.complete(reply));
                    });
        }
        return promise.future();
    }

    @Override
    public Future<OrderReply> start(MinionInfo info, StartOrder order) {
        return exchange(
                info,
                minion -> new OrderReply(minion.start(order), mCalls.millis()),
                new OrderReply(OrderOutcome.UNKNOWN, 0));
    }

    @Override
    public Future<OrderReply> stop(MinionInfo info, String task, int run, long token) {
        return exchange(
                info,
                minion -> new OrderReply(minion.stop(task, run, token), mCalls.millis()),
                new OrderReply(OrderOutcome.UNKNOWN, 0));
    }

    @Override
    public Future<OrderReply> throttle(
            MinionInfo info, String task, int run, int percent, long token) {
        return exchange(
                info,
                minion -> new OrderReply(OrderOutcome.DONE, mCalls.millis()),
                new OrderReply(OrderOutcome.UNKNOWN, 0));
    }

    @Override
    public Future<RunListing> renewRunLeases(MinionInfo info, LeaseOrder order) {
        Promise<RunListing> promise = Promise.promise();
        Minion minion = mMinions.get(info.id());
        if (minion.mIsUnreachable || minion.mOrderDelayMillis > 0) {
            mCalls.schedule(
                    TIMEOUT_MILLIS,
                    () -> promise.complete(RunListing.failed(OrderOutcome.UNKNOWN)));
            return promise.future();
        }
        long born = minion.mBorn;
        mCalls.schedule(
                DELAY_MILLIS,
                () -> minion.hold(order, mCalls.millis() + order.waitMillis(), born, promise));
        return promise.future();
    }

    /** One minion. */
    final class Minion {
        final MinionInfo mInfo;
        final Map<String, Run> mRuns = new TreeMap<>();
        private final Map<String, Integer> mHighest = new HashMap<>();
        private final TreeMap<Long, End> mEnds = new TreeMap<>();
        private long mToken;
        private long mLeaseMillis;
        private long mNextEnd = 1;
        private long mBorn = 1;
        boolean mIsUnreachable;
        long mOrderDelayMillis;

        private Minion(MinionInfo info) {
            mInfo = info;
        }

        /** Ends, and starts anew under the same id after a while. */
        void restart() {
            mIsUnreachable = true;
            mRuns.clear();
            mEnds.clear();
            mCalls.schedule(RESTART_MILLIS, this::startAnew);
        }

        private void startAnew() {
            mRuns.clear();
            mHighest.clear();
            mEnds.clear();
            mToken = 0;
            mLeaseMillis = 0;
            mNextEnd = 1;
            mBorn++;
            mIsUnreachable = false;
        }

        private OrderOutcome start(StartOrder order) {
            if (order.token() < mToken) {
                return OrderOutcome.FENCED;
            }
            mToken = order.token();
            Run present = mRuns.get(order.task());
            if (present != null && present.mRun == order.run()) {
                return OrderOutcome.DONE;
            }
            if (order.run() <= mHighest.getOrDefault(order.task(), 0)) {
                return OrderOutcome.RUN_TOO_OLD;
            }
            if (order.leaseEndMillis() <= mCalls.millis()) {
                return OrderOutcome.LEASE_TOO_OLD;
            }
            extend(order.leaseEndMillis());
            Outcome outcome = mBehaviour.of(order.task(), order.run());
            Run run = new Run(order.task(), order.run());
            mRuns.put(order.task(), run);
            mStarts.add(
                    new Start(
                            mCalls.millis(), mInfo.id(), order.task(), order.run(), order.token()));
            mCalls.schedule(outcome.millis(), () -> end(run, outcome.end()));
            return OrderOutcome.DONE;
        }

        private void end(Run run, TaskEnd end) {
            if (mRuns.get(run.mTask) != run) {
                return;
            }
            mRuns.remove(run.mTask);
            mHighest.merge(run.mTask, run.mRun, Math::max);
            End record =
                    new End(mCalls.millis(), new EndedTask(mNextEnd, run.mTask, run.mRun, end, ""));
            mEnds.put(mNextEnd, record);
            mAllEnds.add(record);
            mNextEnd++;
        }

        private OrderOutcome stop(String task, int run, long token) {
            if (token < mToken) {
                return OrderOutcome.FENCED;
            }
            mToken = token;
            mHighest.merge(task, run, Math::max);
            Run present = mRuns.get(task);
            if (present != null && present.mRun == run) {
                mCalls.schedule(STOP_MILLIS, () -> end(present, TaskEnd.STOPPED));
            }
            return OrderOutcome.DONE;
        }

        private void extend(long leaseEndMillis) {
            mLeaseMillis = Math.max(mLeaseMillis, leaseEndMillis);
            mCalls.schedule(
                    Math.max(1, mLeaseMillis - mCalls.millis()),
                    () -> {
                        if (mCalls.millis() >= mLeaseMillis) {
                            mEnds.values().forEach(end -> end.mIsLapsed = true);
                            List.copyOf(mRuns.values())
                                    .forEach(run -> end(run, TaskEnd.LEASE_EXPIRED));
                        }
                    });
        }

        private void hold(
                LeaseOrder order, long untilMillis, long born, Promise<RunListing> promise) {
            // A connection ends with the incarnation that had it.
            if (mIsUnreachable || born != mBorn) {
                mCalls.schedule(
                        TIMEOUT_MILLIS,
                        () -> promise.complete(RunListing.failed(OrderOutcome.UNKNOWN)));
                return;
            }
            if (order.token() < mToken) {
                promise.complete(RunListing.failed(OrderOutcome.FENCED));
                return;
            }
            mToken = order.token();
            Map<Long, End> noted = mEnds.headMap(order.lastSeenEnd(), true);
            noted.values().forEach(end -> end.mIsAcknowledged = !end.mIsLapsed);
            noted.clear();
            if (order.leaseEndMillis() > 0) {
                extend(order.leaseEndMillis());
            }
            if (mEnds.isEmpty() && mCalls.millis() < untilMillis) {
                mCalls.schedule(10, () -> hold(order, untilMillis, born, promise));
                return;
            }
            RunListing listing =
                    new RunListing(
                            OrderOutcome.DONE,
                            mCalls.millis(),
                            mBorn,
                            mRuns.values().stream()
                                    .map(run -> new RunningTask(run.mTask, run.mRun, "", 100, 0))
                                    .toList(),
                            mEnds.values().stream().map(end -> end.mEnded).toList());
            mCalls.schedule(DELAY_MILLIS, () -> promise.complete(listing));
        }
    }

    /** A run on a minion. */
    static final class Run {
        final String mTask;
        final int mRun;

        private Run(String task, int run) {
            mTask = task;
            mRun = run;
        }
    }
}
