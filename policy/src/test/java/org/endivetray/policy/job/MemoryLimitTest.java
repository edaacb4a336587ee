package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the memory limit under a backlog: ten jobs of 8 tasks are overdue by 8,760 occurrences
 * each, as after a long outage, when further jobs are due.
 *
 * <p>This class is not thread-safe.
 */
class MemoryLimitTest {
    private static final int JOBS = 10;
    private static final int OVERDUE = 8_760;
    private static final int TASKS = 8;
    private static final int RECORD_BYTES = 500;

    /** Decides whether a due occurrence is loaded. */
    private interface Rule {
        boolean mayLoad(boolean isScheduled, boolean isFirst, int tasks, MemoryLimit.Use use);
    }

    /** The rival: one limit for all, first come first loaded. */
    private static boolean byOneLimit(
            boolean isScheduled, boolean isFirst, int tasks, MemoryLimit.Use use) {
        return use.scheduledTasks() + use.unscheduledTasks() + tasks <= MemoryLimit.MAX_TASKS;
    }

    private static MemoryLimit.Use loadBacklog(Rule rule) {
        int loaded = 0;
        for (int job = 0; job < JOBS; job++) {
            for (int occurrence = 0; occurrence < OVERDUE; occurrence++) {
                if (rule.mayLoad(true, occurrence == 0, TASKS, new MemoryLimit.Use(loaded, 0, 0))) {
                    loaded += TASKS;
                }
            }
        }
        return new MemoryLimit.Use(loaded, 0, 0);
    }

    @Test
    void aBacklogOfScheduledJobsLeavesRoomForOtherJobsWhichOneLimitForAllDoesNot() {
        MemoryLimit.Use policy = loadBacklog(MemoryLimit::mayLoad);
        MemoryLimit.Use rival = loadBacklog(MemoryLimitTest::byOneLimit);
        assertTrue(MemoryLimit.mayLoad(false, true, TASKS, policy));
        assertFalse(byOneLimit(false, true, TASKS, rival));
        assertTrue(MemoryLimit.mayLoad(true, true, TASKS, policy));
        assertFalse(byOneLimit(true, true, TASKS, rival));
    }

    @Test
    void theLoadedTasksOfABacklogStayWithinTheLimit() {
        int loaded = loadBacklog(MemoryLimit::mayLoad).scheduledTasks();
        assertTrue(loaded <= MemoryLimit.MAX_TASKS_FOR_FURTHER + JOBS * TASKS, "" + loaded);
    }

    @Test
    void jobsAreAcceptedUntilTheirRecordsFillTheLimit() {
        long bytes = 0;
        int accepted = 0;
        while (MemoryLimit.accepts(true, TASKS, RECORD_BYTES, new MemoryLimit.Use(0, 0, bytes))) {
            bytes += RECORD_BYTES;
            accepted++;
        }
        assertEquals(MemoryLimit.MAX_RECORD_BYTES / RECORD_BYTES, accepted);
    }

    @Test
    void aJobWithoutScheduleIsRefusedWhileTheTasksOfOthersFillTheLimit() {
        MemoryLimit.Use full = new MemoryLimit.Use(0, MemoryLimit.MAX_TASKS, 0);
        assertFalse(MemoryLimit.accepts(false, 1, RECORD_BYTES, full));
        assertTrue(MemoryLimit.accepts(true, 1, RECORD_BYTES, full));
    }
}
