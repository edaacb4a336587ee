package org.endivetray.daemon.job.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.StoredOrders;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;

/**
 * Records in the shared store which workers the fleet owner has recently given orders, so that the
 * next owner withholds orders from only these for a time and can order all others at once.
 *
 * <p>Times are never stored, because hosts' clocks differ and jump. A worker stays in the record at
 * least until the handover time has passed since its last order on the owner's own monotonic clock.
 *
 * <p>Invariants: a worker is in the stored record before an order for it is given; a worker that an
 * earlier owner has left in the record gets no order until the handover time has passed since this
 * owner started.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class RecentOrders {
    /** Key of the record. */
    static final String KEY = "endivetray/fleet/orders";

    private static final Logger LOGGER = System.getLogger(RecentOrders.class.getName());

    /** Delay before a failed read or write of the record is retried. */
    private static final long RETRY_MILLIS = 200;

    /** Time after the expiry of an order in which the record is rewritten. */
    private static final long PRUNE_DELAY_MILLIS = 100;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final Condition mOwner;
    private final long mHandoverNanos;
    private final long mStartNanos;
    private final Set<String> mInherited = new HashSet<>();
    private final Map<String, Long> mOrderedNanos = new HashMap<>();
    private final Map<String, List<Promise<Void>>> mPending = new HashMap<>();

    /** Workers that are certainly in the stored record. */
    private Set<String> mStored = Set.of();

    private long mVersion;
    private boolean mIsLoaded;
    private boolean mIsCalling;
    private boolean mIsStopped;
    private boolean mIsPruningScheduled;

    /**
     * Constructs a record that has not been read yet.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param owner the key and version under which this daemon is the fleet owner, not null
     * @param handoverMillis least time between orders of two successive fleet owners for one
     *     worker, in milliseconds
     */
    RecentOrders(
            SharedStore store, SchedulerExecutor executor, Condition owner, long handoverMillis) {
        mStore = store;
        mExecutor = executor;
        mOwner = owner;
        mHandoverNanos = TimeUnit.MILLISECONDS.toNanos(handoverMillis);
        mStartNanos = executor.nanoTime();
    }

    /** Starts to read the record that the previous owner has left. */
    void start() {
        load();
    }

    /** Allows no more orders and fails the pending futures of {@link #recordOrder}. */
    void stop() {
        mIsStopped = true;
        List<Promise<Void>> waiting = new ArrayList<>();
        mPending.values().forEach(waiting::addAll);
        mPending.clear();
        waiting.forEach(promise -> promise.tryFail("this daemon is no longer the fleet owner"));
    }

    /** Returns whether a worker may be given orders now. */
    boolean mayOrder(String worker) {
        return mIsLoaded && !mIsStopped && (!mInherited.contains(worker) || isHandoverComplete());
    }

    /** Returns whether the record that the previous owner has left is known. */
    boolean isLoaded() {
        return mIsLoaded;
    }

    /**
     * Returns the workers for which orders of the previous owner may still take effect, empty once
     * the handover time has passed.
     */
    Set<String> withheldWorkers() {
        return isHandoverComplete() ? Set.of() : Set.copyOf(mInherited);
    }

    private boolean isHandoverComplete() {
        return mExecutor.nanoTime() - mStartNanos >= mHandoverNanos;
    }

    /**
     * Records that a worker is about to be given an order.
     *
     * @param worker id of the worker, not null
     * @return a future that completes once the worker is in the stored record, and fails if the
     *     order must not be given
     */
    Future<Void> recordOrder(String worker) {
        if (!mayOrder(worker)) {
            return Future.failedFuture("worker " + worker + " must not be given orders yet");
        }
        mOrderedNanos.put(worker, mExecutor.nanoTime());
        if (mStored.contains(worker)) {
            return Future.succeededFuture();
        }
        Promise<Void> stored = Promise.promise();
        mPending.computeIfAbsent(worker, ignored -> new ArrayList<>()).add(stored);
        store();
        return stored.future();
    }

    private void load() {
        if (mIsStopped) {
            return;
        }
        mExecutor.onComplete(
                mStore.read(KEY),
                (item, cause) -> {
                    if (cause == null && !mIsStopped) {
                        onLoaded(item);
                    } else {
                        mExecutor.schedule(RETRY_MILLIS, this::load);
                    }
                });
    }

    private void onLoaded(VersionedValue item) {
        mVersion = item.version();
        if (item.isPresent()) {
            try {
                mStored =
                        RecordCodec.decode(item.key(), item.value(), StoredOrders.class).workers();
            } catch (EndivetrayException e) {
                LOGGER.log(
                        Level.ERROR,
                        "fleet: order record is unreadable, orders to all workers are delayed {0}",
                        e);
                mExecutor.schedule(
                        TimeUnit.NANOSECONDS.toMillis(mHandoverNanos),
                        () -> {
                            mIsLoaded = true;
                        });
                return;
            }
        }
        mInherited.addAll(mStored);
        mIsLoaded = true;
        LOGGER.log(
                Level.INFO,
                "fleet: read order record of the previous owner workers={0}",
                Integer.toString(mInherited.size()));
        schedulePruning();
    }

    /**
     * Stores the workers with recent or pending orders and, until the handover time has passed,
     * those that the previous owner has left in the record.
     */
    private void store() {
        if (mIsCalling || mIsStopped || mPending.isEmpty() && !hasExpired()) {
            return;
        }
        mIsCalling = true;
        if (isHandoverComplete()) {
            mInherited.clear();
        }
        long now = mExecutor.nanoTime();
        mOrderedNanos.values().removeIf(nanos -> now - nanos >= mHandoverNanos);
        Set<String> workers = new HashSet<>(mInherited);
        workers.addAll(mOrderedNanos.keySet());
        workers.addAll(mPending.keySet());
        // The write may or may not take effect, so only workers in both records are certainly
        // stored.
        mStored = mStored.stream().filter(workers::contains).collect(Collectors.toSet());
        Commit commit =
                new Commit(
                        List.of(mOwner, new Condition(KEY, mVersion)),
                        List.of(
                                new Write(
                                        KEY,
                                        RecordCodec.encode(new StoredOrders(workers)),
                                        SharedStore.NO_LEASE)),
                        List.of());
        mExecutor.onComplete(mStore.commit(commit), (result, cause) -> onResult(workers, result));
    }

    /** Returns whether the stored record has workers that may be removed from it. */
    private boolean hasExpired() {
        long now = mExecutor.nanoTime();
        return isHandoverComplete()
                && mStored.stream()
                        .map(mOrderedNanos::get)
                        .anyMatch(nanos -> nanos == null || now - nanos >= mHandoverNanos);
    }

    /** Removes expired workers from the record, so that a new owner can order them at once. */
    private void schedulePruning() {
        if (!mIsPruningScheduled && !mIsStopped) {
            mIsPruningScheduled = true;
            mExecutor.schedule(
                    TimeUnit.NANOSECONDS.toMillis(mHandoverNanos) + PRUNE_DELAY_MILLIS,
                    () -> {
                        mIsPruningScheduled = false;
                        store();
                    });
        }
    }

    private void onResult(Set<String> workers, CommitResult result) {
        mIsCalling = false;
        if (mIsStopped) {
            return;
        }
        if (!result.isDone()) {
            LOGGER.log(Level.INFO, "fleet: order record not stored outcome={0}", result.outcome());
            if (result.outcome() == CommitOutcome.CONFLICT) {
                mVersion = result.currentOf(KEY).version();
            }
            mExecutor.schedule(RETRY_MILLIS, this::store);
            return;
        }
        mVersion = result.revision();
        mStored = workers;
        if (!workers.isEmpty()) {
            schedulePruning();
        }
        for (String worker : workers) {
            List<Promise<Void>> waiting = mPending.remove(worker);
            if (waiting != null) {
                mOrderedNanos.put(worker, mExecutor.nanoTime());
                waiting.forEach(Promise::tryComplete);
            }
        }
        store();
    }
}
