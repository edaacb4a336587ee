package org.endivetray.daemon.job.virtual;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * A shared store in memory on a virtual clock, which simulates outages and lost answers.
 *
 * <p>This class is not thread-safe.
 */
public final class VirtualStore implements SharedStore {
    private static final long DELAY_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 900;

    private final VirtualExecutor mExecutor;
    private final TreeMap<String, VersionedValue> mItems = new TreeMap<>();
    private final List<VersionedValue> mEvents = new ArrayList<>();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final Set<Promise<Range>> mSilent = new HashSet<>();
    private long mRevision = 1;
    private long mNextLease = 100;
    private int mCalls;
    private int mCommits;

    /** How the store responds to calls. */
    public enum Mode {
        /** Carries out calls and answers them. */
        UP,
        /** Refuses calls, so that nothing is changed. */
        REFUSING,
        /** Neither carries out calls nor answers them, so that they time out. */
        UNRESPONSIVE,
        /** Carries out commits, but their answers are lost. */
        ANSWERS_LOST,
        /** Carries out commits only after they have timed out. */
        COMMITS_DELAYED
    }

    public Mode mMode = Mode.UP;

    /**
     * Silences the watch calls that are waiting: they get no reply, and fail once their time limit
     * has passed. Later calls are not affected.
     */
    public void silenceWatches() {
        mWatchers.forEach(
                watcher ->
                        mExecutor.schedule(
                                Math.max(0, watcher.limitMillis() - mExecutor.millis()),
                                () -> watcher.promise().tryFail("no reply")));
        mWatchers.forEach(watcher -> mSilent.add(watcher.promise()));
        mWatchers.clear();
    }

    /** Returns the number of calls so far. */
    public int calls() {
        return mCalls;
    }

    /** Returns the number of commits so far, also of those that did not take effect. */
    public int commits() {
        return mCommits;
    }

    /** Returns the prefixes that are being watched. */
    public List<String> watchedPrefixes() {
        return mWatchers.stream().map(Watcher::prefix).toList();
    }

    public VirtualStore(VirtualExecutor executor) {
        mExecutor = executor;
    }

    /** Writes a key immediately, as an operator or another daemon does. */
    public long put(String key, byte[] value) {
        mRevision++;
        apply(new VersionedValue(key, mRevision, value));
        return mRevision;
    }

    /** Removes a key immediately, as the end of a lease does. */
    public void remove(String key) {
        mRevision++;
        apply(new VersionedValue(key, mRevision, null));
    }

    public VersionedValue get(String key) {
        return mItems.getOrDefault(key, VersionedValue.absent(key));
    }

    private void apply(VersionedValue item) {
        if (item.isPresent()) {
            mItems.put(item.key(), item);
        } else {
            mItems.remove(item.key());
        }
        mEvents.add(item);
        for (Watcher watcher : List.copyOf(mWatchers)) {
            if (item.key().startsWith(watcher.prefix())) {
                mWatchers.remove(watcher);
                mExecutor.schedule(
                        DELAY_MILLIS,
                        () ->
                                watcher.promise()
                                        .tryComplete(
                                                eventsAfter(watcher.prefix(), watcher.after())));
            }
        }
    }

    private Range eventsAfter(String prefix, long after) {
        return new Range(
                mRevision,
                mEvents.stream()
                        .filter(item -> item.version() > after && item.key().startsWith(prefix))
                        .toList());
    }

    private <T> Future<T> answer(java.util.function.Supplier<T> read) {
        mCalls++;
        Promise<T> promise = Promise.promise();
        if (mMode == Mode.REFUSING || mMode == Mode.UNRESPONSIVE) {
            long delay = mMode == Mode.REFUSING ? DELAY_MILLIS : TIMEOUT_MILLIS;
            mExecutor.schedule(
                    delay,
                    () ->
                            promise.tryFail(
                                    new EndivetrayException(
                                            ResultCode.STORE_UNAVAILABLE,
                                            "the store is unavailable")));
        } else {
            mExecutor.schedule(DELAY_MILLIS, () -> promise.tryComplete(read.get()));
        }
        return promise.future();
    }

    @Override
    public Future<VersionedValue> read(String key) {
        return answer(() -> get(key));
    }

    @Override
    public Future<Range> list(String prefix, boolean mayBeStale) {
        return answer(
                () ->
                        new Range(
                                mRevision,
                                mItems.values().stream()
                                        .filter(item -> item.key().startsWith(prefix))
                                        .toList()));
    }

    @Override
    public Future<Range> watch(String prefix, long afterRevision, long waitMillis) {
        if (mMode != Mode.UP && mMode != Mode.ANSWERS_LOST && mMode != Mode.COMMITS_DELAYED) {
            return answer(() -> null);
        }
        Range events = eventsAfter(prefix, afterRevision);
        if (!events.entries().isEmpty()) {
            return answer(() -> eventsAfter(prefix, afterRevision));
        }
        mCalls++;
        Promise<Range> promise = Promise.promise();
        long limit = mExecutor.millis() + waitMillis + WATCH_GRACE_MILLIS;
        Watcher watcher = new Watcher(prefix, afterRevision, promise, limit);
        mWatchers.add(watcher);
        mExecutor.schedule(
                waitMillis,
                () -> {
                    mWatchers.remove(watcher);
                    if (!mSilent.contains(promise)) {
                        promise.tryComplete(eventsAfter(prefix, afterRevision));
                    }
                });
        return promise.future();
    }

    @Override
    public Future<CommitResult> commit(Commit commit) {
        mCalls++;
        mCommits++;
        Promise<CommitResult> promise = Promise.promise();
        switch (mMode) {
            case UP -> mExecutor.schedule(DELAY_MILLIS, () -> promise.complete(execute(commit)));
            case REFUSING ->
                    mExecutor.schedule(
                            DELAY_MILLIS,
                            () -> promise.complete(result(CommitOutcome.NOT_DONE, 0)));
            case UNRESPONSIVE ->
                    mExecutor.schedule(
                            TIMEOUT_MILLIS,
                            () -> promise.complete(result(CommitOutcome.UNKNOWN, 0)));
            case ANSWERS_LOST -> {
                mExecutor.schedule(DELAY_MILLIS, () -> execute(commit));
                mExecutor.schedule(
                        TIMEOUT_MILLIS, () -> promise.complete(result(CommitOutcome.UNKNOWN, 0)));
            }
            case COMMITS_DELAYED -> {
                mExecutor.schedule(TIMEOUT_MILLIS * 3, () -> execute(commit));
                mExecutor.schedule(
                        TIMEOUT_MILLIS, () -> promise.complete(result(CommitOutcome.UNKNOWN, 0)));
            }
        }
        return promise.future();
    }

    private CommitResult execute(Commit commit) {
        List<VersionedValue> current = new ArrayList<>();
        boolean isMet = true;
        for (Condition condition : commit.conditions()) {
            VersionedValue item = get(condition.key());
            current.add(item);
            isMet &= item.version() == condition.version();
        }
        if (!isMet) {
            return new CommitResult(CommitOutcome.CONFLICT, 0, current);
        }
        mRevision++;
        long revision = mRevision;
        commit.writes()
                .forEach(write -> apply(new VersionedValue(write.key(), revision, write.value())));
        commit.removals().forEach(key -> apply(new VersionedValue(key, revision, null)));
        return result(CommitOutcome.DONE, revision);
    }

    private static CommitResult result(CommitOutcome outcome, long revision) {
        return new CommitResult(outcome, revision, List.of());
    }

    @Override
    public Future<Long> createLease(long ttlMillis) {
        return answer(() -> mNextLease++);
    }

    @Override
    public Future<Boolean> renewLease(long lease) {
        return answer(() -> true);
    }

    @Override
    public Future<Void> endLease(long lease) {
        return answer(() -> null);
    }

    /** Returns the items whose keys have a prefix, by key. */
    public Map<String, VersionedValue> withPrefix(String prefix) {
        return mItems.subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /** A watch call that waits for a change. */
    private record Watcher(String prefix, long after, Promise<Range> promise, long limitMillis) {}
}
