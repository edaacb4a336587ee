package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

    /** Estimates of all tasks of a job, 10,000 at the most, are added up. */
    private static final long MAX_SUMMAND = Long.MAX_VALUE / 100_000;

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

    /**
     * Guards against an overflow that ends each pass of the dispatcher for as long as a task runs
     * whose caller declared the largest number for a duration that is not known.
     */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 2 + 1, 1L << 61, 0, -1, Long.MIN_VALUE})
    void anyDeclaredDurationGivesEstimatesThatCanBeAddedUp(long declaredMillis) {
        DurationModel model = new DurationModel();
        for (long age : new long[] {Long.MIN_VALUE, 0, 1_000, 1L << 40}) {
            TimeEstimate remaining = model.remaining(KIND, declaredMillis, age);
            assertTrue(remaining.expectedMillis() >= 0, remaining.toString());
            assertTrue(remaining.lateMillis() < MAX_SUMMAND, remaining.toString());
        }
        assertTrue(model.expectedMillis(KIND, declaredMillis) >= 1);
        assertTrue(model.expectedMillis(KIND, declaredMillis) < MAX_SUMMAND);
        assertTrue(model.expectedNearMillis(KIND, declaredMillis) >= 1);
        assertTrue(model.expectedNearMillis(KIND, declaredMillis) < MAX_SUMMAND);
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
