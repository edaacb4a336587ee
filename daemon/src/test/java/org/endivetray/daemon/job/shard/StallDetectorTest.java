package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests that a task which takes long is left to run on a sound minion, and started elsewhere if all
 * tasks on its minion take long.
 *
 * <p>Each minion runs eight tasks at a time; tasks fill one minion after the other.
 *
 * <p>This class is not thread-safe.
 */
class StallDetectorTest {
    private static final int TASKS_PER_MINION = 8;
    private static final long USUAL_MILLIS = 500;

    /** Longest duration in the first job, below the limit at which a task counts as stalled. */
    private static final long LONGEST_MILLIS = 2_400;

    private static final long LONG_MILLIS = 4_000;
    private static final int LEARNING_JOB = 1;
    private static final int JOB = 2;

    private final ShardHarness mHarness = new ShardHarness();

    private static String task(int job, int index) {
        return ShardHarness.id(job) + ".0.0." + index;
    }

    private static boolean isIn(String task, int job) {
        return task.startsWith(ShardHarness.id(job));
    }

    /** Returns an owner that has learnt how long tasks take. */
    private Shard startLearnt(String... minions) {
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.equals(task(LEARNING_JOB, 0)) ? LONGEST_MILLIS : USUAL_MILLIS,
                                TaskEnd.DONE);
        Shard shard = mHarness.startWith(minions);
        mHarness.submit(shard, LEARNING_JOB, ShardHarness.step(20));
        mHarness.run(LONGEST_MILLIS + 2 * USUAL_MILLIS, shard);
        return shard;
    }

    private long startsOf(String task) {
        return mHarness.mMinions.mStarts.stream()
                .filter(start -> start.task().equals(task))
                .count();
    }

    @Test
    void aLongTaskBesideUsualOnesOfItsMinionIsLeftToRun() {
        Shard shard = startLearnt("m1", "m2");
        String longTask = task(JOB, 0);
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.equals(longTask) ? LONG_MILLIS : USUAL_MILLIS, TaskEnd.DONE);
        mHarness.submit(shard, JOB, ShardHarness.step(200));
        mHarness.run(LONG_MILLIS + USUAL_MILLIS, shard);
        assertThat(startsOf(longTask)).isEqualTo(1);
    }

    @Test
    void theTasksOfAMinionOnWhichAllTakeLongAreStartedElsewhere() {
        Shard shard = startLearnt("m1", "m2", "m3", "m4");
        mHarness.mMinions.mBehaviour =
                (task, run) -> {
                    int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
                    boolean isSlow = isIn(task, JOB) && index < TASKS_PER_MINION && run == 1;
                    return new VirtualMinions.Outcome(
                            isSlow ? LONG_MILLIS : USUAL_MILLIS, TaskEnd.DONE);
                };
        mHarness.submit(shard, JOB, ShardHarness.step(200));
        mHarness.run(4 * USUAL_MILLIS, shard);
        for (int index = 0; index < TASKS_PER_MINION; index++) {
            assertThat(startsOf(task(JOB, index))).isEqualTo(2);
        }
    }
}
