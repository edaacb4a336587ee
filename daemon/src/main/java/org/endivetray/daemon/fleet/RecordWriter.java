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
 * Changes stored records by compare-and-swap, and waits for the outcome.
 *
 * <p>When the answer of a write is lost, the record is read back: if it holds what was written, the
 * write took effect.
 *
 * <p>Invariants: a change that was made known to the state view stands in the store.
 *
 * <p>This class is thread-safe; its methods block and are called by duties that may wait.
 */
public final class RecordWriter {
    private static final long WAIT_MILLIS = 10_000;

    private final Store mStore;
    private final StateView mView;

    /**
     * Constructs a writer.
     *
     * @param store the platform's store, not null
     * @param view told of each change, not null
     */
    public RecordWriter(Store store, StateView view) {
        mStore = store;
        mView = view;
    }

    /**
     * Waits for a call to the platform.
     *
     * @param future the call, not null
     * @param <T> type of the answer
     * @throws EndivetrayException with the call's code
     */
    public static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | CompletionException e) {
            if (e.getCause() instanceof EndivetrayException known) {
                throw known;
            }
            throw new EndivetrayException(
                    ResultCode.PLATFORM_UNAVAILABLE, String.valueOf(e.getCause()), e);
        } catch (TimeoutException e) {
            throw new EndivetrayException(ResultCode.PLATFORM_UNAVAILABLE, "no answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EndivetrayException(ResultCode.INTERNAL, "interrupted", e);
        }
    }

    /**
     * Writes a record if it has the expected version.
     *
     * @param key the key, not null
     * @param expected version that the key must have, 0 to create it
     * @param value the value, not null
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
     * Deletes a record if it has the expected version.
     *
     * @param key the key, not null
     * @param expected version that the key must have
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
                    "the write of '" + key + "' could not be read back",
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
                ResultCode.STORE_OUTCOME_UNKNOWN, "the write of '" + key + "' may be under way");
    }
}
