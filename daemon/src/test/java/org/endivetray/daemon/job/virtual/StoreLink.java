package org.endivetray.daemon.job.virtual;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * The path of one process to the shared store, which may fail in several ways.
 *
 * <p>This class is not thread-safe.
 */
public final class StoreLink implements SharedStore {
    private static final long TIMEOUT_MILLIS = 900;
    private static final long LATE_MIN_MILLIS = 900;
    private static final long LATE_MAX_MILLIS = 4_000;
    private static final int PAGE_ITEMS = 8;

    private final VirtualExecutor mWorld;
    private final LeasedStore mStore;
    private final VirtualProcess mProcess;
    private final Delays mDelays;
    private Mode mMode = Mode.UP;

    /** Start of the key whose next write is late, null if none is. */
    private String mLatePrefix;

    private long mLateMillis;

    /** How the path treats calls. */
    public enum Mode {
        /** Carries calls out and answers them. */
        UP,
        /** Refuses calls, so that nothing is done. */
        REFUSING,
        /** Loses calls, so that they time out. */
        SILENT,
        /** Carries calls out, but loses the answers. */
        ANSWERS_LOST,
        /** Carries calls out seconds later, without an answer. */
        LATE
    }

    /**
     * Constructs a path that works.
     *
     * @param world the clock, not null
     * @param store the store, not null
     * @param process the process, not null
     * @param delays random delays, not null
     */
    public StoreLink(
            VirtualExecutor world, LeasedStore store, VirtualProcess process, Delays delays) {
        mWorld = world;
        mStore = store;
        mProcess = process;
        mDelays = delays;
    }

    /** Sets how the path treats calls from now on. */
    public void setMode(Mode mode) {
        mMode = mode;
    }

    /**
     * Carries the next write of a key out late and without an answer.
     *
     * @param keyPrefix start of the key, not null
     * @param delayMillis how much later, in milliseconds
     */
    public void delayNextWrite(String keyPrefix, long delayMillis) {
        mLatePrefix = keyPrefix;
        mLateMillis = delayMillis;
    }

    private boolean isLate(Commit commit) {
        return mLatePrefix != null
                && commit.writes().stream().anyMatch(write -> write.key().startsWith(mLatePrefix));
    }

    private <T> Future<T> call(String kind, long timeoutMillis, Supplier<T> atStore, T refusal) {
        Promise<T> promise = Promise.promise();
        String name = mProcess.name() + " " + kind;
        mProcess.schedule(timeoutMillis, () -> promise.tryFail("no reply"));
        mWorld.schedule(
                mDelays.message(name),
                () -> {
                    if (mMode == Mode.REFUSING) {
                        reply(name, () -> refuse(promise, refusal));
                    } else if (mMode == Mode.LATE) {
                        long delay = mDelays.between(name, LATE_MIN_MILLIS, LATE_MAX_MILLIS);
                        mWorld.schedule(delay, atStore::get);
                    } else if (mMode != Mode.SILENT && !mStore.isDown()) {
                        T result = atStore.get();
                        reply(name, () -> promise.tryComplete(result));
                    }
                });
        return promise.future();
    }

    private static <T> void refuse(Promise<T> promise, T refusal) {
        if (refusal != null) {
            promise.tryComplete(refusal);
        } else {
            promise.tryFail(
                    new EndivetrayException(
                            ResultCode.STORE_UNAVAILABLE, "the store refuses the call"));
        }
    }

    private void reply(String name, Runnable reply) {
        mWorld.schedule(
                mDelays.message(name),
                () -> {
                    if (mMode == Mode.UP || mMode == Mode.REFUSING) {
                        mProcess.arrive(reply);
                    }
                });
    }

    @Override
    public Future<VersionedValue> read(String key) {
        return call("read " + key, TIMEOUT_MILLIS, () -> mStore.read(key), null);
    }

    @Override
    public Future<Range> list(String prefix, boolean mayBeStale) {
        return page(prefix, "", 0, new ArrayList<>());
    }

    private Future<Range> page(
            String prefix, String after, long firstRevision, List<VersionedValue> items) {
        return call(
                        "list " + prefix,
                        TIMEOUT_MILLIS,
                        () -> new Range(mStore.revision(), mStore.items(prefix, after)),
                        null)
                .compose(
                        range -> {
                            long revision = firstRevision == 0 ? range.revision() : firstRevision;
                            List<VersionedValue> page =
                                    range.entries().stream().limit(PAGE_ITEMS).toList();
                            items.addAll(page);
                            if (page.size() == range.entries().size()) {
                                return Future.succeededFuture(new Range(revision, items));
                            }
                            String last = page.get(page.size() - 1).key();
                            return page(prefix, last, revision, items);
                        });
    }

    @Override
    public Future<Range> watch(String prefix, long afterRevision, long waitMillis) {
        Promise<Range> promise = Promise.promise();
        String name = mProcess.name() + " watch " + prefix;
        mProcess.schedule(
                waitMillis + WATCH_GRACE_MILLIS, () -> promise.tryFail("no reply to a watch"));
        mWorld.schedule(
                mDelays.message(name),
                () -> {
                    if (mMode == Mode.REFUSING) {
                        reply(name, () -> refuse(promise, null));
                    } else if (mMode == Mode.UP && !mStore.isDown()) {
                        mStore.watch(
                                prefix,
                                afterRevision,
                                waitMillis,
                                range -> reply(name, () -> promise.tryComplete(range)));
                    }
                });
        return promise.future();
    }

    @Override
    public Future<CommitResult> commit(Commit commit) {
        if (isLate(commit)) {
            mLatePrefix = null;
            mWorld.schedule(mLateMillis, () -> mStore.commit(commit));
            Promise<CommitResult> promise = Promise.promise();
            CommitResult unknown = new CommitResult(CommitOutcome.UNKNOWN, 0, List.of());
            mProcess.schedule(TIMEOUT_MILLIS, () -> promise.complete(unknown));
            return promise.future();
        }
        String kind =
                "commit "
                        + (commit.writes().isEmpty()
                                ? String.join(" ", commit.removals())
                                : commit.writes().get(0).key());
        return call(
                        kind,
                        TIMEOUT_MILLIS,
                        () -> mStore.commit(commit),
                        new CommitResult(CommitOutcome.NOT_DONE, 0, List.of()))
                .otherwise(new CommitResult(CommitOutcome.UNKNOWN, 0, List.of()));
    }

    @Override
    public Future<Long> createLease(long ttlMillis) {
        return call("create lease", TIMEOUT_MILLIS, () -> mStore.createLease(ttlMillis), null);
    }

    @Override
    public Future<Boolean> renewLease(long lease) {
        return call("renew lease", TIMEOUT_MILLIS, () -> mStore.renewLease(lease), null);
    }

    @Override
    public Future<Void> endLease(long lease) {
        return call(
                        "end lease",
                        TIMEOUT_MILLIS,
                        () -> {
                            mStore.endLease(lease);
                            return true;
                        },
                        null)
                .mapEmpty();
    }
}
