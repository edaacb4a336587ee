package org.endivetray.daemon.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests what a duty does after errors of its work.
 *
 * <p>This class is not thread-safe.
 */
class DutyTest {
    private static final int RING_ENTRIES = 16;
    private static final long TICK_MILLIS = 10;
    private static final long MAX_WAIT_SECONDS = 10;

    private final CountDownLatch mOutOfMemory = new CountDownLatch(1);
    private final Duty mDuty =
            new Duty("test", RING_ENTRIES, TICK_MILLIS, () -> {}, mOutOfMemory::countDown);

    @AfterEach
    void stopDuty() {
        mDuty.stop();
    }

    private static int recurse(int depth) {
        return recurse(depth + 1) + 1;
    }

    private static boolean await(CountDownLatch latch) throws InterruptedException {
        return latch.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a thread that ends unnoticed while its process goes on. */
    @Test
    void workThatOverflowsTheStackDoesNotKeepLaterWorkFromRunning() throws InterruptedException {
        CountDownLatch later = new CountDownLatch(1);
        mDuty.start();
        mDuty.submit(() -> recurse(0));
        mDuty.submit(later::countDown);
        assertThat(await(later)).isTrue();
        assertThat(mOutOfMemory.getCount()).isEqualTo(1);
    }

    /** Guards against a process without a scheduler that goes on reporting that it is ready. */
    @Test
    void workThatExhaustsTheMemoryEndsTheProcess() throws InterruptedException {
        mDuty.start();
        mDuty.submit(
                () -> {
                    throw new OutOfMemoryError("simulated");
                });
        assertThat(await(mOutOfMemory)).isTrue();
    }
}
