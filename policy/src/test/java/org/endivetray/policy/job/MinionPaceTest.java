package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.endivetray.policy.job.MinionPace.Runs;
import org.junit.jupiter.api.Test;

/**
 * Tests which runs count as stalled on a full pool, on which some tasks take seven times as long as
 * the others and some minions are slow for a while; the rival is a limit that is the same for all
 * minions.
 *
 * <p>This class is not thread-safe.
 */
class MinionPaceTest {
    private static final int SEEDS = 5;
    private static final int MINIONS = 20;
    private static final int PLACES = 8;
    private static final int SLOW_MINIONS = 3;
    private static final double SLOW_SPEED = 0.2;
    private static final long SLOW_FROM_MILLIS = 4_000;
    private static final long SLOW_UNTIL_MILLIS = 10_000;
    private static final long LENGTH_MILLIS = 20_000;
    private static final long TICK_MILLIS = 20;
    private static final long SCAN_MILLIS = 300;
    private static final long LEFT_OUT_MILLIS = 1_000;
    private static final int STALLS_BEFORE_LEFT_OUT = 3;
    private static final long WORK_MILLIS = 680;
    private static final double TAIL_SHARE = 0.03;
    private static final double TAIL_FACTOR = 7;
    private static final String KIND = "kind";

    /** Says after what time a run on a minion counts as stalled. */
    private interface Rule {
        long limitMillis(Runs minion, Runs pool, long expectedMillis, long longestMillis);
    }

    private static final Rule BY_PACE =
            (minion, pool, expected, longest) ->
                    MinionPace.of(minion, pool).stallMillis(expected, longest);

    private static final Rule SAME_FOR_ALL =
            (minion, pool, expected, longest) -> MinionPace.UNKNOWN.stallMillis(expected, longest);

    private static final class Task {
        private final double mWorkMillis;
        private long mFirstStartMillis = -1;
        private boolean mWasStalled;
        private int mMinion;
        private long mStartMillis;
        private double mDoneMillis;

        private Task(double workMillis) {
            mWorkMillis = workMillis;
        }
    }

    /** What became of the tasks. */
    private static final class Outcome {
        private double mTaskMillis;
        private long mTasks;
        private double mLostMillis;
        private int mStopped;

        private double meanMillis() {
            return mTaskMillis / mTasks;
        }
    }

    /** Runs a full pool under a rule. */
    private static void play(Rule rule, int slowMinions, int seed, Outcome outcome) {
        Random random = new Random(seed);
        DurationModel durations = new DurationModel();
        List<Task> running = new ArrayList<>();
        List<Task> stopped = new ArrayList<>();
        int[] used = new int[MINIONS];
        int[] stalls = new int[MINIONS];
        long[] leftOutUntil = new long[MINIONS];
        for (long now = 0; now < LENGTH_MILLIS; now += TICK_MILLIS) {
            for (int minion = 0; minion < MINIONS; minion++) {
                while (used[minion] < PLACES && now >= leftOutUntil[minion]) {
                    Task task = stopped.isEmpty() ? newTask(random) : stopped.remove(0);
                    task.mMinion = minion;
                    task.mStartMillis = now;
                    task.mDoneMillis = 0;
                    task.mFirstStartMillis =
                            task.mFirstStartMillis < 0 ? now : task.mFirstStartMillis;
                    used[minion]++;
                    running.add(task);
                }
            }
            boolean isSlowTime = now >= SLOW_FROM_MILLIS && now < SLOW_UNTIL_MILLIS;
            for (Task task : List.copyOf(running)) {
                boolean isSlow = isSlowTime && task.mMinion < slowMinions;
                task.mDoneMillis += TICK_MILLIS * (isSlow ? SLOW_SPEED : 1);
                if (task.mDoneMillis >= task.mWorkMillis) {
                    running.remove(task);
                    used[task.mMinion]--;
                    stalls[task.mMinion] = 0;
                    durations.onDone(KIND, now - task.mStartMillis, false);
                    outcome.mTaskMillis += now - task.mFirstStartMillis;
                    outcome.mTasks++;
                }
            }
            if (now % SCAN_MILLIS < TICK_MILLIS && durations.isLearnt(KIND)) {
                for (Task task : stalled(running, durations, rule, now)) {
                    running.remove(task);
                    stopped.add(task);
                    used[task.mMinion]--;
                    task.mWasStalled = true;
                    outcome.mStopped++;
                    outcome.mLostMillis += now - task.mStartMillis;
                    if (++stalls[task.mMinion] >= STALLS_BEFORE_LEFT_OUT) {
                        leftOutUntil[task.mMinion] = now + LEFT_OUT_MILLIS;
                    }
                }
            }
        }
    }

    private static Task newTask(Random random) {
        double factor = random.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1;
        return new Task(WORK_MILLIS * factor * (0.6 + 0.8 * random.nextDouble()));
    }

    private static List<Task> stalled(
            List<Task> running, DurationModel durations, Rule rule, long now) {
        long expected = durations.expectedMillis(KIND, WORK_MILLIS);
        Runs[] runs = new Runs[MINIONS];
        Runs pool = Runs.NONE;
        for (Task task : running) {
            long age = TimeUnit.MILLISECONDS.toNanos(now - task.mStartMillis);
            Runs before = runs[task.mMinion] == null ? Runs.NONE : runs[task.mMinion];
            runs[task.mMinion] = before.with(age, expected);
            pool = pool.with(age, expected);
        }
        List<Task> stalled = new ArrayList<>();
        for (Task task : running) {
            long limit =
                    rule.limitMillis(
                            runs[task.mMinion], pool, expected, durations.longestNearMillis(KIND));
            if (!task.mWasStalled && now - task.mStartMillis >= limit) {
                stalled.add(task);
            }
        }
        return stalled;
    }

    private static Outcome play(Rule rule, int slowMinions) {
        Outcome outcome = new Outcome();
        for (int seed = 0; seed < SEEDS; seed++) {
            play(rule, slowMinions, seed, outcome);
        }
        return outcome;
    }

    private static void assertBetter(int slowMinions) {
        Outcome policy = play(BY_PACE, slowMinions);
        Outcome rival = play(SAME_FOR_ALL, slowMinions);
        String seen =
                String.format(
                        "mean %.0f against %.0f ms, lost %.0f against %.0f ms, stopped %d against"
                                + " %d",
                        policy.meanMillis(),
                        rival.meanMillis(),
                        policy.mLostMillis,
                        rival.mLostMillis,
                        policy.mStopped,
                        rival.mStopped);
        assertTrue(policy.meanMillis() < rival.meanMillis(), seen);
        assertTrue(policy.mLostMillis < rival.mLostMillis, seen);
    }

    @Test
    void longTasksOnSoundMinionsEndEarlierThanUnderOneLimitForAll() {
        assertBetter(0);
    }

    @Test
    void tasksEndEarlierThanUnderOneLimitForAllIfSomeMinionsAreSlow() {
        assertBetter(SLOW_MINIONS);
    }

    @Test
    void aMinionOnWhichMostRunsAreOverdueIsSlow() {
        assertEquals(MinionPace.SLOW, MinionPace.of(new Runs(8, 6), new Runs(160, 10)));
    }

    @Test
    void aMinionWithOneLongRunIsSound() {
        assertEquals(MinionPace.SOUND, MinionPace.of(new Runs(8, 1), new Runs(160, 10)));
    }

    @Test
    void nothingIsSaidOfAMinionWithFewRunsOrIfTheWholePoolIsOverdue() {
        assertEquals(MinionPace.UNKNOWN, MinionPace.of(new Runs(2, 2), new Runs(160, 10)));
        assertEquals(MinionPace.UNKNOWN, MinionPace.of(new Runs(8, 8), new Runs(160, 120)));
    }

    @Test
    void aRunOnASoundMinionIsStalledOnceItIsLongerThanAnyOfItsKind() {
        assertEquals(10_000, MinionPace.SOUND.stallMillis(700, 5_000));
        assertEquals(1_400, MinionPace.SLOW.stallMillis(700, 5_000));
        assertEquals(2_800, MinionPace.UNKNOWN.stallMillis(700, 5_000));
    }
}
