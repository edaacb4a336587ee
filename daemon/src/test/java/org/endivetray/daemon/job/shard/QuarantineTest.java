package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests tasks that need a label which only some minions have, while those fail all that they start.
 *
 * <p>This class is not thread-safe.
 */
class QuarantineTest {
    private static final String LABEL = "b";
    private static final int TASKS = 8;
    private static final long FAILS_MILLIS = 6_500;

    private final ShardHarness mHarness = new ShardHarness();
    private boolean mIsSound;

    private static StepSpec longRunning(int count, int maxPerMinion) {
        return new StepSpec(
                count,
                500,
                100,
                0,
                500,
                List.of(),
                false,
                false,
                false,
                LABEL,
                "",
                maxPerMinion,
                false,
                true,
                "",
                0,
                false,
                -1);
    }

    private void addLabelled(String id) {
        MinionInfo info = mHarness.mMinions.add(id, ShardHarness.POOL, 8_000);
        mHarness.mRegistered.add(
                new MinionInfo(
                        info.id(),
                        info.pool(),
                        info.host(),
                        info.port(),
                        info.zone(),
                        false,
                        info.cpuMillis(),
                        info.memoryMb(),
                        info.gpus(),
                        List.of(LABEL, "r1"),
                        info.bornMillis()));
    }

    private long runningOf(int job) {
        return List.of("b1", "b2").stream()
                .flatMap(id -> mHarness.mMinions.minion(id).mRuns.keySet().stream())
                .filter(task -> task.startsWith(ShardHarness.id(job)))
                .count();
    }

    /**
     * Guards against sound minions that long-running tasks are kept off: runs that fail later
     * prolong the quarantine, and nothing but its end lets the only minions of a kind be used.
     */
    @Test
    void longRunningTasksThatCanRunNowhereElseRunSoonAfterTheirMinionsAreSoundAgain() {
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        mIsSound
                                ? new VirtualMinions.Outcome(1_000_000, TaskEnd.FAILED)
                                : new VirtualMinions.Outcome(
                                        task.startsWith(ShardHarness.id(1)) ? 3_000 : 150,
                                        TaskEnd.FAILED);
        addLabelled("b1");
        addLabelled("b2");
        Shard shard = mHarness.startWith("a1", "a2", "a3", "a4", "a5", "a6");
        mHarness.run(FAILS_MILLIS - 1_500, shard);
        mHarness.submit(shard, 1, longRunning(2, 1));
        mHarness.submit(shard, 2, longRunning(TASKS, 0));
        mHarness.run(1_500, shard);
        mIsSound = true;
        mHarness.run(2_000, shard);
        assertThat(runningOf(2)).isEqualTo(TASKS);
        mHarness.run(2_500, shard);
        assertThat(runningOf(1)).isEqualTo(2);
    }

    @Test
    void shortTasksWaitForTheEndOfAQuarantineSinceTheirFailuresAreLimited() {
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        task.startsWith(ShardHarness.id(1))
                                ? new VirtualMinions.Outcome(150, TaskEnd.FAILED)
                                : new VirtualMinions.Outcome(500, TaskEnd.DONE);
        addLabelled("b1");
        Shard shard = mHarness.startWith("a1", "a2", "a3", "a4");
        mHarness.submit(shard, 1, longRunning(4, 0));
        mHarness.run(400, shard);
        StepSpec shortTask =
                new StepSpec(
                        1, 500, 100, 0, 500, List.of(), false, false, false, LABEL, "", 0, false,
                        false, "", 0, false, -1);
        mHarness.submit(shard, 2, shortTask);
        long before = startsOf(2);
        mHarness.run(500, shard);
        assertThat(startsOf(2)).isEqualTo(before).isZero();
    }

    private long startsOf(int job) {
        return mHarness.mMinions.mStarts.stream()
                .filter(start -> start.task().startsWith(ShardHarness.id(job)))
                .count();
    }
}
