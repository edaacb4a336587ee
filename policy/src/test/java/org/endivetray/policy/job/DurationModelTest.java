package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests the estimates of durations, of which a few are many times as long as the others.
 *
 * <p>This class is not thread-safe.
 */
class DurationModelTest {
    private static final String KIND = "kind";
    private static final long DECLARED_MILLIS = 9_000;

    /** Relative error of recorded durations. */
    private static final double PRECISION = 0.01;

    private static void assertNear(long expected, long actual) {
        assertEquals(expected, actual, PRECISION * expected + 1);
    }

    @Test
    void aTaskThatIsOlderThanMostIsExpectedToBelongToTheTail() {
        DurationModel model = new DurationModel();
        for (int i = 0; i < 100; i++) {
            model.onDone(KIND, i % 20 == 0 ? 5_000 : 500, false);
        }
        assertNear(500, model.remaining(KIND, DECLARED_MILLIS, 0).expectedMillis());
        assertNear(4_000, model.remaining(KIND, DECLARED_MILLIS, 1_000).expectedMillis());
    }

    @Test
    void aTaskThatIsOlderThanAllIsExpectedToTakeAsLongAgain() {
        DurationModel model = new DurationModel();
        for (int i = 0; i < 10; i++) {
            model.onDone(KIND, 500, false);
        }
        assertEquals(new TimeEstimate(3_000, 6_000), model.remaining(KIND, DECLARED_MILLIS, 3_000));
    }

    @Test
    void theDeclaredDurationCountsUntilSomeAreObserved() {
        TimeEstimate remaining = new DurationModel().remaining(KIND, DECLARED_MILLIS, 1_000);
        assertEquals(DECLARED_MILLIS - 1_000, remaining.expectedMillis());
    }

    @Test
    void durationsOfLongAgoNoLongerCount() {
        DurationModel model = new DurationModel();
        for (int i = 0; i < 1_000; i++) {
            model.onDone(KIND, i < 800 ? 500 : 2_000, false);
        }
        assertNear(2_000, model.remaining(KIND, DECLARED_MILLIS, 0).expectedMillis());
    }

    @Test
    void aConfiguredFactorIsTakenOutOfDurationsAway() {
        DurationModel model = new DurationModel(FarFactor.configured(3));
        for (int i = 0; i < 10; i++) {
            model.onDone(KIND, 1_500, true);
        }
        assertEquals(500, model.expectedNearMillis(KIND, DECLARED_MILLIS));
        assertEquals(1_500, model.expectedMillis(KIND, DECLARED_MILLIS));
    }

    @Test
    void theFactorIsLearntFromEndsNearAndAway() {
        DurationModel model = new DurationModel();
        Random random = new Random(3);
        for (int i = 0; i < 200; i++) {
            model.onDone(KIND, 400 + random.nextInt(200), false);
        }
        assertEquals(1, model.farFactor().value());
        for (int i = 0; i < 200; i++) {
            model.onDone(KIND, 800 + random.nextInt(400), true);
            model.onDone(KIND, 400 + random.nextInt(200), false);
        }
        assertEquals(2, model.farFactor().value(), 0.2);
        assertEquals(500, model.expectedNearMillis(KIND, DECLARED_MILLIS), 25);
    }

    @Test
    void aFactorThatIsNotConfiguredIsNotKnownAtFirst() {
        assertEquals(1, FarFactor.configured(0).value());
        assertEquals(1.5, FarFactor.configured(1.5).value());
        assertFalse(new DurationModel().isLearnt(KIND));
        assertTrue(FarFactor.learnt().value() >= 1);
    }
}
