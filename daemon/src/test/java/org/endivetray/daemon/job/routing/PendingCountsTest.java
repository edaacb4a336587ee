package org.endivetray.daemon.job.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tests for how long a reported number of pending jobs may be shown.
 *
 * <p>This class is not thread-safe.
 */
class PendingCountsTest {
    private static final String QUEUE = "charts";

    private final PendingCounts mCounts = new PendingCounts();

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void aQueueWithoutAReportHasNoCount() {
        assertThat(mCounts.recent(QUEUE, nanos(5_000))).isEmpty();
    }

    @Test
    void aRecentCountIsShownWhileTheOwnerDoesNotAnswer() {
        mCounts.put(QUEUE, 4, nanos(5_000));
        assertThat(mCounts.recent(QUEUE, nanos(5_900))).hasValue(4);
    }

    @Test
    void anOldCountIsNotShownAlthoughItWasReadMeanwhile() {
        mCounts.put(QUEUE, 0, nanos(5_000));
        assertThat(mCounts.recent(QUEUE, nanos(5_900))).hasValue(0);
        assertThat(mCounts.recent(QUEUE, nanos(6_100))).isEmpty();
    }
}
