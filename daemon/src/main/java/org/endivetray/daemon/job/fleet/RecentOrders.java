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
 * Keeps in the store which workers the holder has given orders of late, so that the next holder
 * knows which ones it must leave alone for a while and may order all others at once.
 *
 * <p>Times are never stored, since hosts' clocks differ and jump: a worker stays in the record
 * until its last order is long past on the holder's own steady clock.
 *
 * <p>Invariants: a worker is in the stored record before an order for it is given; a worker that an
 * earlier holder has left in the record gets no order until the time between two holders has passed
 * since this one began.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class RecentOrders {
    /** Key of the record. */
    static final String KEY = "endivetray/fleet/orders";

    private static final Logger LOGGER = System.getLogger(RecentOrders.class.getName());

    /** Pause after a call that the store did not answer. */
    private static final long RETRY_MILLIS = 200;

    private final SharedStore mStore;
    private final SchedulerExecutor mCalls;
    private final Condition mOwner;
    private final long mWaitNanos;
    private final long mSinceNanos;
    private final Set<String> mInherited = new HashSet<>();
    private final Map<String, Long> mOrderedNanos = new HashMap<>();
    private final Map<String, List<Promise<Void>>> mWaiting = new HashMap<>();
    private Set<String> mStored = Set.of();
    private long mVersion;
    private boolean mIsLoaded;
    private boolean mIsCalling;
    private boolean mIsEnded;

    /**
     * Constructs a log that has not been read yet.
     *
     * @param store the shared store, not null
     * @param calls runs results on the scheduler's thread, not null
     * @param owner the key and version under which this daemon is the holder, not null
     * @param waitMillis time between orders of two holders for one worker, in milliseconds
     */
    RecentOrders(SharedStore store, SchedulerExecutor calls, Condition owner, long waitMillis) {
        mStore = store;
        mCalls = calls;
        mOwner = owner;
        mWaitNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
        mSinceNanos = calls.nanoTime();
    }

    /** Reads what the holder before has left. */
    void start() {
        load();
    }

    /** Gives no more orders; those that wait fail. */
    void stop() {
        mIsEnded = true;
        List<Promise<Void>> waiting = new ArrayList<>();
        mWaiting.values().forEach(waiting::addAll);
        mWaiting.clear();
        waiting.forEach(promise -> promise.tryFail("no longer the holder"));
    }

    /** Returns whether a worker may be given orders now. */
    boolean mayOrder(String worker) {
        return mIsLoaded && !mIsEnded && (!mInherited.contains(worker) || hasWaited());
    }

    private boolean hasWaited() {
        return mCalls.nanoTime() - mSinceNanos >= mWaitNanos;
    }

    /**
     * Notes that a worker is about to be given an order.
     *
     * @param worker id of the worker, not null
     * @return done as soon as that is stored; failed if the order must not be given
     */
    Future<Void> recordOrder(String worker) {
        if (!mayOrder(worker)) {
            return Future.failedFuture("worker " + worker + " may not be ordered yet");
        }
        mOrderedNanos.put(worker, mCalls.nanoTime());
        if (mStored.contains(worker)) {
            return Future.succeededFuture();
        }
        Promise<Void> stored = Promise.promise();
        mWaiting.computeIfAbsent(worker, ignored -> new ArrayList<>()).add(stored);
        store();
        return stored.future();
    }

    private void load() {
        if (mIsEnded) {
            return;
        }
        mCalls.onComplete(
                mStore.read(KEY),
                (item, cause) -> {
                    if (cause == null && !mIsEnded) {
                        onLoaded(item);
                    } else {
                        mCalls.schedule(RETRY_MILLIS, this::load);
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
                LOGGER.log(Level.ERROR, "fleet: order record unreadable, waits for all {0}", e);
                mCalls.schedule(
                        TimeUnit.NANOSECONDS.toMillis(mWaitNanos),
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
                "fleet: orders of the holder before are known workers={0}",
                Integer.toString(mInherited.size()));
    }

    /** Stores the workers with recent orders and those that wait for one. */
    private void store() {
        if (mIsCalling || mIsEnded || mWaiting.isEmpty()) {
            return;
        }
        mIsCalling = true;
        if (hasWaited()) {
            mInherited.clear();
        }
        long now = mCalls.nanoTime();
        mOrderedNanos.values().removeIf(nanos -> now - nanos >= mWaitNanos);
        Set<String> workers = new HashSet<>(mInherited);
        workers.addAll(mOrderedNanos.keySet());
        workers.addAll(mWaiting.keySet());
        // Whatever becomes of the write, only these are certainly in the record from now on.
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
        mCalls.onComplete(mStore.commit(commit), (result, cause) -> onResult(workers, result));
    }

    private void onResult(Set<String> workers, CommitResult result) {
        mIsCalling = false;
        if (mIsEnded) {
            return;
        }
        if (!result.isDone()) {
            LOGGER.log(Level.INFO, "fleet: order record not stored outcome={0}", result.outcome());
            if (result.outcome() == CommitOutcome.CONFLICT) {
                mVersion = result.currentOf(KEY).version();
            }
            mCalls.schedule(RETRY_MILLIS, this::store);
            return;
        }
        mVersion = result.revision();
        mStored = workers;
        for (String worker : workers) {
            List<Promise<Void>> waiting = mWaiting.remove(worker);
            if (waiting != null) {
                mOrderedNanos.put(worker, mCalls.nanoTime());
                waiting.forEach(Promise::tryComplete);
            }
        }
        store();
    }
}
