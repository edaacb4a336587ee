package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;

/**
 * Writes a shard's changes to the shared store in batches, on condition that the shard still has
 * the same owner.
 *
 * <p>Each write also requires that its key still has the last known version, so that a write whose
 * answer was lost cannot overwrite a later one.
 *
 * <p>Invariants: at most one batch is in flight; a change is reported as stored only after the
 * store has confirmed it; a rewrite stays queued until it is stored, replaced by a later one of its
 * key or the shard is lost, also if it cannot be encoded.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class BatchWriter {
    private static final Logger LOGGER = System.getLogger(BatchWriter.class.getName());

    /** Delay before the next batch after one was not stored, a tenth of a short store outage. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time for which changes are collected into a batch. This is well below a caller's timeout. */
    private static final long GATHER_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Delay before a change that could not be encoded is encoded again. */
    private static final long ENCODE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Size of the values of a batch from which no further change is added to it, in bytes. */
    private static final int FULL_BATCH_BYTES = 1_000_000;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final Condition mOwner;
    private final Runnable mOnOwnerChanged;
    private final Map<String, Change> mQueued = new LinkedHashMap<>();
    private final Deque<PendingAction> mPendingActions = new ArrayDeque<>();
    private final Deque<Removal> mRemovals = new ArrayDeque<>();
    private Map<String, Change> mInFlight = Map.of();
    private boolean mIsSending;
    private boolean mIsUrgent;
    private long mBatchStartNanos;
    private long mRetryAtNanos;
    private long mLastNumber;
    private long mLastRevision;

    BatchWriter(
            SharedStore store,
            SchedulerExecutor executor,
            Condition owner,
            Runnable onOwnerChanged) {
        mStore = store;
        mExecutor = executor;
        mOwner = owner;
        mLastRevision = owner.version();
        mOnOwnerChanged = onOwnerChanged;
    }

    /**
     * Queues a change, which replaces a queued change of the same key.
     *
     * @param change the change, not null
     * @param isUrgent whether to send it without waiting for further changes
     */
    void add(Change change, boolean isUrgent) {
        change.mNumber = ++mLastNumber;
        Change earlier = mQueued.remove(change.key());
        if (earlier != null) {
            change.mergeFrom(earlier);
        }
        if (mQueued.isEmpty()) {
            mBatchStartNanos = mExecutor.nanoTime();
        }
        mQueued.put(change.key(), change);
        mIsUrgent |= isUrgent;
    }

    /**
     * Queues the removal of a key for which this owner queues no further changes. A key is never
     * removed before one whose removal was queued earlier.
     *
     * @param onRemoved called once the store has confirmed the removal, not null
     */
    void remove(String key, Runnable onRemoved) {
        mRemovals.add(new Removal(key, onRemoved));
    }

    /**
     * Runs an action once all changes queued so far have been stored, or found to be refused if
     * they are creations.
     */
    void afterStored(Runnable action) {
        if (mQueued.isEmpty() && mInFlight.isEmpty()) {
            action.run();
        } else {
            mPendingActions.add(new PendingAction(mLastNumber, action));
        }
    }

    /**
     * Returns the revision of the last batch that the store has confirmed, at first that of the
     * owner's key. The key of any later owner has a higher one.
     */
    long lastRevision() {
        return mLastRevision;
    }

    /** Returns whether no change is queued or in flight; removals do not count. */
    boolean isIdle() {
        return mQueued.isEmpty() && mInFlight.isEmpty();
    }

    /** Sends a batch if one is due. */
    void flush(long nowNanos) {
        boolean isDue = mIsUrgent || nowNanos - mBatchStartNanos >= GATHER_NANOS;
        if (mIsSending || nowNanos - mRetryAtNanos < 0) {
            return;
        }
        if (mQueued.isEmpty()) {
            flushRemovals();
            return;
        }
        if (!isDue) {
            return;
        }
        Map<String, Change> batch = new LinkedHashMap<>();
        List<Condition> conditions = new ArrayList<>(List.of(mOwner));
        List<Write> writes = new ArrayList<>();
        int entries = 1;
        int bytes = 0;
        boolean isFull = false;
        var iterator = mQueued.values().iterator();
        while (iterator.hasNext() && !isFull) {
            Change change = iterator.next();
            if (!change.isDue(nowNanos)) {
                continue;
            }
            int size = change.entries();
            isFull = entries + size > SharedStore.MAX_COMMIT_ENTRIES || bytes >= FULL_BATCH_BYTES;
            if (isFull) {
                continue;
            }
            if (encode(change, nowNanos)) {
                iterator.remove();
                entries += size;
                bytes += change.sentValue().length;
                batch.put(change.key(), change);
                change.addTo(conditions, writes);
            } else if (change.isCreation()) {
                iterator.remove();
                change.onFailed(CommitOutcome.NOT_DONE);
            }
        }
        mIsUrgent = isFull;
        if (batch.isEmpty()) {
            return;
        }
        mInFlight = batch;
        mIsSending = true;
        mExecutor.onComplete(
                mStore.commit(new Commit(conditions, writes, List.of())),
                (result, cause) -> onResult(result));
    }

    /** Encodes a change, and returns false if that fails, in which case it is tried again later. */
    private static boolean encode(Change change, long nowNanos) {
        try {
            change.encode();
            return true;
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "journal: change not encoded key=" + change.key(), e);
            change.notBefore(nowNanos + ENCODE_RETRY_NANOS);
            return false;
        }
    }

    /** Sends a batch of removals; a batch that fails is queued again first. */
    private void flushRemovals() {
        if (mRemovals.isEmpty()) {
            return;
        }
        List<Removal> batch = new ArrayList<>();
        while (!mRemovals.isEmpty() && batch.size() < SharedStore.MAX_COMMIT_ENTRIES - 1) {
            batch.add(mRemovals.poll());
        }
        mIsSending = true;
        List<String> keys = batch.stream().map(Removal::key).toList();
        Commit commit = new Commit(List.of(mOwner), List.of(), keys);
        mExecutor.onComplete(
                mStore.commit(commit), (result, cause) -> onRemoved(batch, result.outcome()));
    }

    private void onRemoved(List<Removal> batch, CommitOutcome outcome) {
        mIsSending = false;
        switch (outcome) {
            case DONE -> batch.forEach(removal -> removal.onRemoved().run());
            case CONFLICT -> mOnOwnerChanged.run();
            default -> {
                mRetryAtNanos = mExecutor.nanoTime() + RETRY_NANOS;
                Collections.reverse(batch);
                batch.forEach(mRemovals::addFirst);
            }
        }
    }

    private void onResult(CommitResult result) {
        mIsSending = false;
        mLastRevision = Math.max(mLastRevision, result.revision());
        Map<String, Change> batch = mInFlight;
        mInFlight = Map.of();
        switch (result.outcome()) {
            case DONE -> batch.values().forEach(change -> onStored(change, result.revision()));
            case CONFLICT -> onConflict(batch, result);
            default -> onFailure(batch, result.outcome());
        }
        runPendingActions();
        flush(mExecutor.nanoTime());
    }

    private void onStored(Change change, long version) {
        Change later = mQueued.get(change.key());
        if (later != null) {
            later.mVersion = version;
        }
        change.onStored(version);
    }

    private void onConflict(Map<String, Change> batch, CommitResult result) {
        if (result.currentOf(mOwner.key()).version() != mOwner.version()) {
            batch.values().forEach(change -> change.onFailed(CommitOutcome.CONFLICT));
            mOnOwnerChanged.run();
            return;
        }
        for (Change change : batch.values()) {
            VersionedValue current = result.currentOf(change.key());
            if (current.version() == change.version()) {
                if (change.isOtherKeyPresent(result)) {
                    change.onExists(result);
                } else {
                    requeue(change);
                }
            } else if (Arrays.equals(current.value(), change.sentValue())) {
                onStored(change, current.version());
            } else if (change.isCreation()) {
                change.onExists(result);
            } else {
                change.mVersion = current.version();
                requeue(change);
            }
        }
        mIsUrgent = true;
    }

    private void onFailure(Map<String, Change> batch, CommitOutcome outcome) {
        LOGGER.log(
                Level.WARNING,
                "journal: batch not stored owner={0} changes={1} outcome={2}",
                mOwner.key(),
                batch.size(),
                outcome);
        mRetryAtNanos = mExecutor.nanoTime() + RETRY_NANOS;
        for (Change change : batch.values()) {
            if (outcome == CommitOutcome.UNKNOWN) {
                change.mMayExist = true;
            }
            change.onFailed(change.mMayExist ? CommitOutcome.UNKNOWN : outcome);
            if (!change.isCreation() || change.mMayExist) {
                requeue(change);
            }
        }
    }

    private void requeue(Change change) {
        Change later = mQueued.get(change.key());
        if (later == null) {
            mQueued.put(change.key(), change);
        } else {
            later.mergeFrom(change);
        }
    }

    private void runPendingActions() {
        long stored = Long.MAX_VALUE;
        for (Change change : mQueued.values()) {
            stored = Math.min(stored, change.mNumber - 1);
        }
        while (!mPendingActions.isEmpty() && mPendingActions.peek().number() <= stored) {
            mPendingActions.poll().action().run();
        }
    }

    /** An action to run once all changes up to a number have been stored. */
    private record PendingAction(long number, Runnable action) {}

    /** A key to remove. */
    private record Removal(String key, Runnable onRemoved) {}
}
