package org.endivetray.daemon.job.relay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;

/**
 * A shared store as one daemon reaches it, on a path of its own that can fail.
 *
 * <p>This class is not thread-safe.
 */
final class UnreliableStore implements SharedStore {
    private static final long TIMEOUT_MILLIS = 900;

    private final SharedStore mStore;
    private final VirtualExecutor mExecutor;
    private final Map<Long, Long> mRenewedMillis;
    Path mPath = Path.UP;

    /** How calls on the path fail. */
    enum Path {
        /** Calls are carried out and answered. */
        UP,
        /** Calls are refused and not carried out. */
        REFUSED,
        /** Calls are neither carried out nor answered. */
        SILENT,
        /** Calls are carried out, but their answers are lost. */
        ANSWERS_LOST
    }

    /**
     * Constructs a path that does not fail.
     *
     * @param store the store, not null
     * @param executor the virtual clock, not null
     * @param renewedMillis receives the time at which the store last renewed each lease, not null
     */
    UnreliableStore(SharedStore store, VirtualExecutor executor, Map<Long, Long> renewedMillis) {
        mRenewedMillis = renewedMillis;
        mStore = store;
        mExecutor = executor;
    }

    private <T> Future<T> call(Supplier<Future<T>> call, long timeoutMillis) {
        return switch (mPath) {
            case UP -> call.get();
            case REFUSED ->
                    Future.failedFuture(
                            new EndivetrayException(ResultCode.STORE_UNAVAILABLE, "status 429"));
            case SILENT -> timeout(timeoutMillis);
            case ANSWERS_LOST -> {
                call.get();
                yield timeout(timeoutMillis);
            }
        };
    }

    private <T> Future<T> timeout(long millis) {
        Promise<T> promise = Promise.promise();
        mExecutor.schedule(millis, () -> promise.fail("no answer"));
        return promise.future();
    }

    @Override
    public Future<VersionedValue> read(String key) {
        return call(() -> mStore.read(key), TIMEOUT_MILLIS);
    }

    @Override
    public Future<Range> list(String prefix, boolean mayBeStale) {
        return call(() -> mStore.list(prefix, mayBeStale), TIMEOUT_MILLIS);
    }

    @Override
    public Future<Range> watch(String prefix, long afterRevision, long waitMillis) {
        return call(
                () -> mStore.watch(prefix, afterRevision, waitMillis), waitMillis + TIMEOUT_MILLIS);
    }

    @Override
    public Future<CommitResult> commit(Commit commit) {
        CommitOutcome failed =
                mPath == Path.REFUSED ? CommitOutcome.NOT_DONE : CommitOutcome.UNKNOWN;
        return call(() -> mStore.commit(commit), TIMEOUT_MILLIS)
                .otherwise(new CommitResult(failed, 0, List.of()));
    }

    @Override
    public Future<Long> createLease(long ttlMillis) {
        return call(() -> mStore.createLease(ttlMillis), TIMEOUT_MILLIS);
    }

    @Override
    public Future<Boolean> renewLease(long lease) {
        return call(
                () -> {
                    mRenewedMillis.put(lease, mExecutor.millis());
                    return mStore.renewLease(lease);
                },
                TIMEOUT_MILLIS);
    }

    @Override
    public Future<Void> endLease(long lease) {
        return call(() -> mStore.endLease(lease), TIMEOUT_MILLIS);
    }
}
