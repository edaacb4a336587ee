package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.platform.SharedStore.Condition;
import org.junit.jupiter.api.Test;

/**
 * Tests when changes are encoded and sent.
 *
 * <p>This class is not thread-safe.
 */
class BatchWriterTest {
    private static final String KEY = "k";
    private static final long TICK_MILLIS = 10;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private final BatchWriter mWriter =
            new BatchWriter(
                    mStore,
                    mExecutor,
                    new Condition("owner", mStore.put("owner", new byte[] {1})),
                    () -> {});
    private final List<String> mEncoded = new ArrayList<>();
    private long mVersion;

    private Change change(String value) {
        return Change.rewrite(
                KEY,
                () -> {
                    mEncoded.add(value);
                    return value.getBytes(StandardCharsets.UTF_8);
                },
                mVersion,
                version -> mVersion = version);
    }

    private void run(long millis) {
        for (long t = 0; t < millis; t += TICK_MILLIS) {
            mExecutor.advance(TICK_MILLIS);
            mWriter.flush(mExecutor.nanoTime());
        }
    }

    private long in(long millis) {
        return mExecutor.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private String stored() {
        return mStore.get(KEY).isPresent()
                ? new String(mStore.get(KEY).value(), StandardCharsets.UTF_8)
                : "";
    }

    /** Guards against the encoding of a whole record for each of many changes of it. */
    @Test
    void aChangeThatIsReplacedBeforeItIsSentIsNotEncoded() {
        for (int i = 0; i < 500; i++) {
            mWriter.add(change("v" + i), false);
        }
        run(200);
        assertThat(mEncoded).containsExactly("v499");
        assertThat(stored()).isEqualTo("v499");
    }

    @Test
    void aChangeIsNotSentBeforeItsTimeAndDoesNotHoldUpOthers() {
        mWriter.add(change("paced").notBefore(in(500)), false);
        String other = "other";
        mWriter.add(Change.rewrite(other, () -> new byte[] {1}, 0, version -> {}), true);
        run(400);
        assertThat(mStore.get(other).isPresent()).isTrue();
        assertThat(stored()).isEmpty();
        assertThat(mWriter.isIdle()).isFalse();
        run(300);
        assertThat(stored()).isEqualTo("paced");
        assertThat(mWriter.isIdle()).isTrue();
    }

    @Test
    void anUrgentChangeReplacesOneThatWaitsForItsTime() {
        mWriter.add(change("paced").notBefore(in(5_000)), false);
        mWriter.add(change("urgent"), true);
        run(100);
        assertThat(stored()).isEqualTo("urgent");
    }

    @Test
    void anActionWaitsForAChangeThatIsNotSentYet() {
        List<String> done = new ArrayList<>();
        mWriter.add(change("paced").notBefore(in(300)), false);
        mWriter.afterStored(() -> done.add("stored"));
        run(200);
        assertThat(done).isEmpty();
        run(300);
        assertThat(done).containsExactly("stored");
    }

    /**
     * Guards against an end that is acknowledged, or a cancellation that is answered, although the
     * change that it caused was dropped because its record is too large.
     */
    @Test
    void aChangeThatCannotBeEncodedIsKeptAndHoldsUpWhatWaitsForItButNotOtherChanges() {
        List<String> done = new ArrayList<>();
        boolean[] isTooLarge = {true};
        mWriter.add(change("before"), false);
        mWriter.add(
                Change.rewrite(
                        "large",
                        () -> {
                            if (isTooLarge[0]) {
                                throw new EndivetrayException(
                                        ResultCode.RECORD_TOO_LARGE,
                                        "larger than the store accepts");
                            }
                            return new byte[] {1};
                        },
                        0,
                        version -> {}),
                false);
        mWriter.add(Change.rewrite("after", () -> new byte[] {1}, 0, version -> {}), false);
        mWriter.afterStored(() -> done.add("stored"));
        run(1_000);
        assertThat(stored()).isEqualTo("before");
        assertThat(mStore.get("after").isPresent()).isTrue();
        assertThat(mStore.get("large").isPresent()).isFalse();
        assertThat(done).isEmpty();
        assertThat(mWriter.isIdle()).isFalse();
        isTooLarge[0] = false;
        run(1_000);
        assertThat(mStore.get("large").isPresent()).isTrue();
        assertThat(done).containsExactly("stored");
        assertThat(mWriter.isIdle()).isTrue();
    }
}
