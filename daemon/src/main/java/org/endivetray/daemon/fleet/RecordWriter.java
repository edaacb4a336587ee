package org.endivetray.daemon.fleet;

import io.vertx.core.Future;
import java.util.Arrays;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.daemon.state.StateView;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.Store;
import org.endivetray.platform.VersionedValue;

/**
 * Writes stored records by compare-and-swap and waits for the outcome.
 *
 * <p>If the response to a write is lost, the record is read back: if it has the written value, the
 * write took effect.
 *
 * <p>Invariants: the state view is told of a write only after the store has accepted it.
 *
 * <p>This class is thread-safe; its methods block and must be called only on threads that may
 * block.
 */
public final class RecordWriter {
    private static final long CALL_TIMEOUT_MILLIS = 10_000;

    private final Store mStore;
    private final StateView mView;

    /**
     * Constructs a writer to a store.
     *
     * @param store the platform's store, not null
     * @param view updated with each written record, not null
     */
    public RecordWriter(Store store, StateView view) {
        mStore = store;
        mView = view;
    }

    /**
     * Waits for the result of a call to the platform, for 10 seconds at most.
     *
     * @param future the call, not null
     * @param <T> type of the result
     * @throws EndivetrayException with the code of the failed call, or with {@link
     *     ResultCode#PLATFORM_UNAVAILABLE} if the call has no result in time
     */
    public static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | CompletionException e) {
            if (e.getCause() instanceof EndivetrayException known) {
                throw known;
            }
            throw new EndivetrayException(
                    ResultCode.PLATFORM_UNAVAILABLE, String.valueOf(e.getCause()), e);
        } catch (TimeoutException e) {
            throw new EndivetrayException(
                    ResultCode.PLATFORM_UNAVAILABLE, "the platform did not respond in time", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EndivetrayException(
                    ResultCode.INTERNAL, "interrupted while waiting for the platform", e);
        }
    }

    /**
     * Writes a record if its stored version is the expected one.
     *
     * @param key the key of the record, not null
     * @param expected the version that the record must have, 0 to create it
     * @param value the record, not null
     * @return the new version
     * @throws EndivetrayException with {@link ResultCode#VERSION_CONFLICT}, {@link
     *     ResultCode#STORE_UNAVAILABLE} or {@link ResultCode#STORE_OUTCOME_UNKNOWN}
     */
    public long write(String key, long expected, Object value) {
        byte[] bytes = RecordCodec.encode(value);
        long version;
        try {
            version = await(mStore.write(key, expected, bytes, Store.NO_LEASE));
        } catch (EndivetrayException e) {
            if (e.code() != ResultCode.STORE_UNAVAILABLE) {
                throw e;
            }
            version = readBack(key, expected, bytes);
        }
        mView.onLocalWrite(new VersionedValue(key, version, bytes));
        return version;
    }

    /**
     * Deletes a record if its stored version is the expected one.
     *
     * @param key the key of the record, not null
     * @param expected the version that the record must have
     */
    public void delete(String key, long expected) {
        await(mStore.delete(key, expected));
    }

    private long readBack(String key, long expected, byte[] bytes) {
        VersionedValue found;
        try {
            found = await(mStore.read(key));
        } catch (EndivetrayException e) {
            throw new EndivetrayException(
                    ResultCode.STORE_OUTCOME_UNKNOWN,
                    "the response to the write of '"
                            + key
                            + "' was lost and the record cannot be read back",
                    e);
        }
        if (found.isPresent() && Arrays.equals(found.value(), bytes)) {
            return found.version();
        }
        if (found.version() != expected) {
            throw new EndivetrayException(
                    ResultCode.VERSION_CONFLICT, "another writer changed '" + key + "'");
        }
        throw new EndivetrayException(
                ResultCode.STORE_OUTCOME_UNKNOWN,
                "the write of '" + key + "' has not taken effect but still may");
    }
}
