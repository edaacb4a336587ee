package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the turns of the order among client accounts.
 *
 * <p>This class is not thread-safe.
 */
class AccountOrderTest {
    private static final int CORE = 1_000;
    private static final StepRank IN_TIME = StepRank.of(2_000, 640, 0, 1);
    private static final StepRank MORE_WORK = StepRank.of(2_000, 640, 0, 8);
    private static final StepRank LATE = StepRank.of(-1, 640, 3_000, 1);

    private final List<AccountOrder.Waiting<String>> mWaiting = new ArrayList<>();
    private final Map<String, Integer> mTasks = new HashMap<>();
    private final Entitlements mEntitlements = new Entitlements();
    private final List<String> mEntitled = new ArrayList<>();

    private void add(String step, String account, boolean isEntitled, StepRank rank, int tasks) {
        add(step, account, 0, 0, isEntitled, rank, 0, tasks);
    }

    private void add(
            String step,
            String account,
            int accountPriority,
            int queuePriority,
            boolean isEntitled,
            StepRank rank,
            long ageMillis,
            int tasks) {
        mTasks.put(step, tasks);
        mWaiting.add(
                new AccountOrder.Waiting<>(
                        step,
                        step,
                        account,
                        accountPriority,
                        queuePriority,
                        isEntitled,
                        rank,
                        ageMillis,
                        CORE));
    }

    /** Dispatches to a pool and returns the steps, one entry for each task, in order of start. */
    private List<String> dispatch(int cores) {
        List<String> started = new ArrayList<>();
        AccountUse use = new AccountUse((long) cores * CORE);
        mWaiting.forEach(each -> use.activate(each.account(), 0));
        new AccountOrder<String>()
                .dispatch(
                        mWaiting,
                        use,
                        mEntitlements,
                        0,
                        new AccountOrder.Starter<>() {
                            @Override
                            public int start(String step, int maxTasks) {
                                int tasks =
                                        Math.min(
                                                Math.min(maxTasks, mTasks.get(step)),
                                                cores - started.size());
                                for (int i = 0; i < tasks; i++) {
                                    started.add(step);
                                }
                                mTasks.merge(step, -tasks, Integer::sum);
                                return tasks;
                            }

                            @Override
                            public void onEntitled(String step) {
                                mEntitled.add(step);
                            }
                        });
        return started;
    }

    @Test
    void workBeyondTheRateFollowsWorkWithinItAndTakesTheRoomThatIsLeft() {
        add("excess", "hot", false, IN_TIME, 2);
        add("late", "a", true, LATE, 1);
        add("inTime", "b", true, MORE_WORK, 1);
        assertEquals(List.of("inTime", "late", "excess"), dispatch(3));
    }

    @Test
    void anAccountBeyondItsRateUsesItsEntitlementForItsLeastWork() {
        add("large", "hot", false, MORE_WORK, 1);
        add("small", "hot", false, IN_TIME, 1);
        add("other", "a", true, MORE_WORK, 1);
        mEntitlements.add("hot");
        assertEquals(List.of("small", "other", "large"), dispatch(3));
        assertEquals(List.of("small"), mEntitled);
        assertEquals(0, mEntitlements.unused("hot"));
    }

    @Test
    void aJobThatFindsNoRoomKeepsTheEntitlementOfItsAccount() {
        add("first", "a", true, IN_TIME, 1);
        add("waiting", "hot", false, MORE_WORK, 1);
        mEntitlements.add("hot");
        assertEquals(List.of("first"), dispatch(1));
        assertEquals(1, mEntitlements.unused("hot"));
    }

    @Test
    void lateWorkIsServedByShareSoThatOneHugeJobDoesNotHoldBackTheOthers() {
        add("huge", "a", true, StepRank.of(-1, 640, 9_000, 1), 100);
        add("late", "b", true, LATE, 2);
        assertEquals(List.of("huge", "huge", "late", "late"), dispatch(4));
    }

    @Test
    void theAccountsPriorityGoesBeforeThatOfTheQueueForTheRoomThatIsLeft() {
        add("lowAccount", "a", 1, 0, false, IN_TIME, 0, 1);
        add("lowQueue", "b", 0, 1, false, IN_TIME, 0, 1);
        add("high", "c", 0, 0, false, MORE_WORK, 0, 1);
        assertEquals(List.of("high", "lowQueue", "lowAccount"), dispatch(3));
    }

    @Test
    void lateWorkBeyondTheSharesGoesByPriority() {
        add("low", "a", 1, 0, true, StepRank.of(-1, 640, 9_000, 1), 0, 9);
        add("high", "b", 0, 0, true, LATE, 0, 9);
        // Each share is three tasks, and each account uses it first.
        add("other", "c", 2, 0, true, LATE, 0, 1);
        List<String> started = dispatch(9);
        assertEquals(3, started.stream().filter("low"::equals).count());
        assertEquals(5, started.stream().filter("high"::equals).count());
        assertEquals(1, started.stream().filter("other"::equals).count());
    }

    @Test
    void aPriorityTakesFromNoAccountWhatItIsEntitledTo() {
        add("high", "a", 0, 0, true, MORE_WORK, 0, 1);
        add("low", "b", 5, 5, true, IN_TIME, 0, 1);
        assertEquals(List.of("low", "high"), dispatch(2));
    }

    @Test
    void aPriorityDoesNotPutWorkBeyondTheRateBeforeWorkWithinIt() {
        add("excess", "hot", 0, 0, false, IN_TIME, 0, 1);
        add("within", "a", 5, 5, true, LATE, 0, 1);
        assertEquals(List.of("within", "excess"), dispatch(2));
    }

    @Test
    void aStepThatHasWaitedTooLongGetsASmallPartOfThePool() {
        for (int i = 0; i < 100; i++) {
            add("busy" + i, "a", true, IN_TIME, 1);
        }
        add("starved", "hot", 9, 9, false, LATE, AccountOrder.STARVED_MILLIS, 100);
        List<String> started = dispatch(100);
        assertEquals(5, started.stream().filter("starved"::equals).count());
        assertEquals(100, started.size());
    }

    @Test
    void anOldJobThatCanStillBeInTimeGetsNoRoomBecauseOfItsAge() {
        add("busy", "a", true, IN_TIME, 1);
        add("old", "b", 0, 0, true, MORE_WORK, AccountOrder.STARVED_MILLIS, 1);
        assertEquals(List.of("busy", "old"), dispatch(2));
    }

    @Test
    void longRunningStepsGoFirstAndBestEffortStepsLastWhateverTheirAccount() {
        add("fills", "a", true, StepRank.ofLongRunning(true, 0), 1);
        add("excess", "b", false, LATE, 1);
        add("serving", "hot", false, StepRank.ofLongRunning(false, 3), 1);
        assertEquals(List.of("serving", "excess", "fills"), dispatch(3));
    }

    @Test
    void anIdleAccountMaySendOneSecondsSubmissionsAtOnceAndThenItsRate() {
        for (int i = 0; i < 4; i++) {
            assertTrue(mEntitlements.admit("a", 4, 10_000));
        }
        assertFalse(mEntitlements.admit("a", 4, 10_100));
        assertTrue(mEntitlements.admit("a", 4, 10_300));
        assertFalse(mEntitlements.admit("a", 4, 10_310));
    }

    @Test
    void aClockThatJumpsBackDoesNotKeepAnAccountFromItsRate() {
        assertTrue(mEntitlements.admit("a", 1, 3_600_000));
        assertFalse(mEntitlements.admit("a", 1, 1_000));
        assertTrue(mEntitlements.admit("a", 1, 2_000));
    }

    @Test
    void anAccountWithoutARateIsAlwaysWithinIt() {
        for (int i = 0; i < 100; i++) {
            assertTrue(mEntitlements.admit("a", 0, 0));
        }
    }

    @Test
    void entitlementsOfJobsThatEndedUnusedAreRemoved() {
        mEntitlements.add("a");
        mEntitlements.add("a");
        mEntitlements.add("b");
        mEntitlements.limitTo(Map.of("a", 1));
        assertEquals(1, mEntitlements.unused("a"));
        assertEquals(0, mEntitlements.unused("b"));
    }
}
