package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;

/**
 * Writes a shard's changes to the shared store in batches, under the condition that the shard still
 * has the same owner.
 *
 * <p>Each key is written under the condition that it has the version that was last seen, so that a
 * write whose answer was lost cannot replace a later one.
 *
 * <p>Invariants: at most one batch is under way; a change is reported as stored only after the
 * store has said so.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class BatchWriter {
    private static final Logger LOGGER = System.getLogger(BatchWriter.class.getName());

    /** Wait after a batch that the store did not take. A tenth of a watch's shortest outage. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time for which changes gather into a batch. Well under a caller's patience. */
    private static final long GATHER_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final SharedStore mStore;
    private final SchedulerExecutor mCalls;
    private final Condition mOwner;
    private final Runnable mOnDeposed;
    private final Map<String, Change> mQueued = new LinkedHashMap<>();
    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private final Deque<String> mRemovals = new ArrayDeque<>();
    private Map<String, Change> mSent = Map.of();
    private boolean mIsSending;
    private boolean mIsUrgent;
    private long mFirstNanos;
    private long mRetryAtNanos;
    private long mEnqueued;

    BatchWriter(SharedStore store, SchedulerExecutor calls, Condition owner, Runnable onDeposed) {
        mStore = store;
        mCalls = calls;
        mOwner = owner;
        mOnDeposed = onDeposed;
    }

    /**
     * Queues a change; a queued change of the same key is replaced.
     *
     * @param change the change, not null
     * @param isUrgent whether it is not to wait for others
     */
    void add(Change change, boolean isUrgent) {
        change.mNumber = ++mEnqueued;
        Change earlier = mQueued.remove(change.key());
        if (earlier != null) {
            change.inherit(earlier);
        }
        if (mQueued.isEmpty()) {
            mFirstNanos = mCalls.nanoTime();
        }
        mQueued.put(change.key(), change);
        mIsUrgent |= isUrgent;
    }

    /** Queues the removal of a key that no other change of this owner concerns any more. */
    void remove(String key) {
        mRemovals.add(key);
    }

    /** Runs an action once all that has been queued so far is stored. */
    void afterStored(Runnable action) {
        if (mQueued.isEmpty() && mSent.isEmpty()) {
            action.run();
        } else {
            mWaiters.add(new Waiter(mEnqueued, action));
        }
    }

    /** Returns whether nothing waits to be stored. */
    boolean isIdle() {
        return mQueued.isEmpty() && mSent.isEmpty();
    }

    /** Sends a batch if one is due. */
    void flush(long nowNanos) {
        boolean isDue = mIsUrgent || nowNanos - mFirstNanos >= GATHER_NANOS;
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
        var iterator = mQueued.values().iterator();
        while (iterator.hasNext()) {
            Change change = iterator.next();
            int size = change.entries();
            if (entries + size > SharedStore.MAX_COMMIT_ENTRIES) {
                break;
            }
            entries += size;
            iterator.remove();
            batch.put(change.key(), change);
            conditions.add(new Condition(change.key(), change.version()));
            change.mAlsoAbsent.forEach(
                    key -> conditions.add(new Condition(key, SharedStore.ABSENT)));
            writes.add(new Write(change.key(), change.value(), SharedStore.NO_LEASE));
        }
        mSent = batch;
        mIsSending = true;
        mIsUrgent = !mQueued.isEmpty();
        mCalls.onComplete(
                mStore.commit(new Commit(conditions, writes, List.of())),
                (result, cause) -> onResult(result));
    }

    /** Removes what is no longer needed, a batch at a time; what fails is tried again. */
    private void flushRemovals() {
        if (mRemovals.isEmpty()) {
            return;
        }
        List<String> batch = new ArrayList<>();
        while (!mRemovals.isEmpty() && batch.size() < SharedStore.MAX_COMMIT_ENTRIES - 1) {
            batch.add(mRemovals.poll());
        }
        mIsSending = true;
        mCalls.onComplete(
                mStore.commit(new Commit(List.of(mOwner), List.of(), batch)),
                (result, cause) -> {
                    mIsSending = false;
                    if (result.outcome() == CommitOutcome.CONFLICT) {
                        mOnDeposed.run();
                    } else if (!result.isDone()) {
                        mRetryAtNanos = mCalls.nanoTime() + RETRY_NANOS;
                        mRemovals.addAll(batch);
                    }
                });
    }

    private void onResult(CommitResult result) {
        mIsSending = false;
        Map<String, Change> batch = mSent;
        mSent = Map.of();
        switch (result.outcome()) {
            case DONE -> batch.values().forEach(change -> onStored(change, result.revision()));
            case CONFLICT -> onConflict(batch, result);
            default -> onFailure(batch, result.outcome());
        }
        runWaiters();
        flush(mCalls.nanoTime());
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
            mOnDeposed.run();
            return;
        }
        for (Change change : batch.values()) {
            VersionedValue current = result.currentOf(change.key());
            if (current.version() == change.version()) {
                if (change.isBlocked(result)) {
                    change.onExists(current);
                } else {
                    requeue(change);
                }
            } else if (Arrays.equals(current.value(), change.value())) {
                onStored(change, current.version());
            } else if (change.isCreation()) {
                change.onExists(current);
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
        mRetryAtNanos = mCalls.nanoTime() + RETRY_NANOS;
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
            later.inherit(change);
        }
    }

    private void runWaiters() {
        long stored = Long.MAX_VALUE;
        for (Change change : mQueued.values()) {
            stored = Math.min(stored, change.mNumber - 1);
        }
        while (!mWaiters.isEmpty() && mWaiters.peek().number() <= stored) {
            mWaiters.poll().action().run();
        }
    }

    /** An action that waits for all changes up to a number. */
    private record Waiter(long number, Runnable action) {}

    /** One key to write or to remove. */
    static final class Change {
        private final String mKey;
        private final byte[] mValue;
        private final boolean mIsCreation;
        private final Consumer<Long> mOnStored;
        private final Consumer<CommitOutcome> mOnFailed;
        private final Consumer<VersionedValue> mOnExists;
        private final List<String> mAlsoAbsent;
        private long mVersion;
        private long mNumber;
        private boolean mMayExist;

        private Change(
                String key,
                byte[] value,
                long version,
                boolean isCreation,
                List<String> alsoAbsent,
                Consumer<Long> onStored,
                Consumer<CommitOutcome> onFailed,
                Consumer<VersionedValue> onExists) {
            mKey = key;
            mValue = value;
            mVersion = version;
            mIsCreation = isCreation;
            mAlsoAbsent = alsoAbsent;
            mOnStored = onStored;
            mOnFailed = onFailed;
            mOnExists = onExists;
        }

        /** Returns a change that rewrites a key of which only this owner is the writer. */
        static Change rewrite(String key, byte[] value, long version, Consumer<Long> onStored) {
            return new Change(
                    key, value, version, false, List.of(), onStored, outcome -> {}, item -> {});
        }

        /**
         * Returns a change that creates a key unless it or another key exists.
         *
         * @param key the key, not null
         * @param value the value, not null
         * @param alsoAbsent another key that must not exist either, not null
         * @param onStored called with the new version once it is stored
         * @param onFailed called each time that the store did not take it
         * @param onExists called with the key's state if it or the other exists
         */
        static Change creation(
                String key,
                byte[] value,
                String alsoAbsent,
                Consumer<Long> onStored,
                Consumer<CommitOutcome> onFailed,
                Consumer<VersionedValue> onExists) {
            return new Change(
                    key,
                    value,
                    SharedStore.ABSENT,
                    true,
                    List.of(alsoAbsent),
                    onStored,
                    onFailed,
                    onExists);
        }

        String key() {
            return mKey;
        }

        byte[] value() {
            return mValue;
        }

        long version() {
            return mVersion;
        }

        boolean isCreation() {
            return mIsCreation;
        }

        int entries() {
            return 2 + mAlsoAbsent.size();
        }

        private void inherit(Change earlier) {
            mVersion = earlier.mVersion;
            mMayExist |= earlier.mMayExist;
            mNumber = Math.min(mNumber, earlier.mNumber);
        }

        private boolean isBlocked(CommitResult result) {
            return mAlsoAbsent.stream().anyMatch(key -> result.currentOf(key).isPresent());
        }

        private void onStored(long version) {
            mVersion = version;
            mOnStored.accept(version);
        }

        private void onFailed(CommitOutcome outcome) {
            mOnFailed.accept(outcome);
        }

        private void onExists(VersionedValue current) {
            mOnExists.accept(current);
        }
    }
}
