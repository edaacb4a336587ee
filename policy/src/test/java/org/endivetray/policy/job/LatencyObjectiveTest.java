package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Tests the slack of steps against the objective of their job.
 *
 * <p>This class is not thread-safe.
 */
class LatencyObjectiveTest {
    private static final long MAX = LatencyObjective.MAX_SLACK_MILLIS;

    @Test
    void theSlackIsWhatTheObjectiveLeavesBesideTheAgeAndTheRemainingSteps() {
        assertEquals(1_351, LatencyObjective.slackMillis(1.5, 1_501, 600, 1_000, 501));
        assertEquals(-500, LatencyObjective.slackMillis(2, 500, 0, 1_000, 500));
    }

    /** Guards against a job with a far objective that ranks as late, and the reverse. */
    @Test
    void theSlackKeepsItsSignAtTheEndsOfTheRange() {
        assertEquals(MAX, LatencyObjective.slackMillis(2, 500, Long.MAX_VALUE, -1, 500));
        assertEquals(MAX, LatencyObjective.slackMillis(1e300, 500, 0, 0, 500));
        assertEquals(MAX, LatencyObjective.slackMillis(2, 500, 0, Long.MIN_VALUE, 500));
        assertEquals(-MAX, LatencyObjective.slackMillis(2, 500, Long.MIN_VALUE, 1, 500));
        assertEquals(-MAX, LatencyObjective.slackMillis(2, 500, 0, Long.MAX_VALUE, 500));
        assertEquals(0, LatencyObjective.slackMillis(Double.NaN, 500, 0, 0, 500));
    }
}
