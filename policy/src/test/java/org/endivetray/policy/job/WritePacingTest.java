package org.endivetray.policy.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.IntToLongFunction;
import org.junit.jupiter.api.Test;

/**
 * Load: 8,000 tasks of one job end within eight seconds, and the job's record grows by 65 bytes
 * with each. Rival: the record is written again with each batch, 40 ms after the one before.
 *
 * <p>This class is not thread-safe.
 */
class WritePacingTest {
    private static final int ENDS = 8_000;
    private static final int BYTES_PER_END = 65;
    private static final long BATCH_MILLIS = 40;

    /** Time that encoding a record takes on three quarters of a core. */
    private static final long NANOS_PER_BYTE = 60;

    /** What a course of the load has cost. */
    private record Cost(double share, long longestDelayMillis) {}

    private static Cost play(IntToLongFunction pauseMillis) {
        long encodingNanos = 0;
        long longestDelay = 0;
        long lastWrite = 0;
        long next = 0;
        for (long now = 1; now <= ENDS; now++) {
            if (now >= next) {
                int bytes = (int) now * BYTES_PER_END;
                encodingNanos += bytes * NANOS_PER_BYTE;
                longestDelay = Math.max(longestDelay, now - lastWrite);
                lastWrite = now;
                next = now + Math.max(BATCH_MILLIS, pauseMillis.applyAsLong(bytes));
            }
        }
        return new Cost(encodingNanos / (ENDS * 1e6), longestDelay);
    }

    @Test
    void theEndsOfALargeJobTakeABoundedShareOfTheTimeAndAreStoredSoon() {
        Cost paced = play(WritePacing::pauseMillis);
        Cost rival = play(bytes -> 0);
        assertThat(paced.share()).isLessThan(0.1);
        assertThat(paced.longestDelayMillis()).isLessThan(400);
        assertThat(rival.share()).isGreaterThan(0.3);
    }

    @Test
    void aRecordOfUsualSizeIsNotHeldBack() {
        assertThat(WritePacing.pauseMillis(200 * BYTES_PER_END)).isLessThan(BATCH_MILLIS);
    }
}
