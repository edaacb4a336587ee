package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests pools whose list of minions is too large for one stored value.
 *
 * <p>This class is not thread-safe.
 */
class LargeMinionListTest {
    private static final int JOBS = 4;
    private static final int TASKS = 10_000;
    private static final int VALUE_BYTES = 1_000_000;

    private final ShardHarness mHarness = new ShardHarness();

    private void addMinion(String id) {
        mHarness.mRegistered.add(mHarness.mMinions.add(id, ShardHarness.POOL, 300_000));
    }

    private long startsOn(String minion) {
        return mHarness.mMinions.mStarts.stream()
                .filter(start -> start.minion().equals(minion))
                .count();
    }

    /**
     * Guards against an owner that starts nothing on new minions any more, and ends its passes with
     * an exception, because the tasks on silent minions have no place in the list.
     */
    @Test
    void newMinionsAreUsedWhileSilentOnesHaveTasksWithoutNumber() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(120_000, TaskEnd.DONE);
        addMinion("m1");
        addMinion("m2");
        Shard shard = mHarness.takeOver();
        mHarness.run(300, shard);
        for (int job = 1; job <= JOBS; job++) {
            mHarness.submit(shard, job, ShardHarness.smallTasks(TASKS, false));
        }
        mHarness.run(10_000, shard);
        assertThat(startsOn("m1") + startsOn("m2")).isEqualTo(JOBS * TASKS);
        mHarness.mMinions.minion("m1").mIsUnreachable = true;
        mHarness.mMinions.minion("m2").mIsUnreachable = true;
        mHarness.run(2_500, shard);
        addMinion("m3");
        mHarness.run(1_000, shard);
        mHarness.submit(shard, JOBS + 1, ShardHarness.smallTasks(10, false));
        mHarness.run(1_000, shard);
        assertThat(startsOn("m3")).isEqualTo(10);
    }

    /** Guards against the same loss because of minions that report very many labels. */
    @Test
    void aMinionMayHaveAnyNumberOfLabels() {
        addMinion("m1");
        MinionInfo info = mHarness.mRegistered.get(0);
        mHarness.mRegistered.set(0, info.withLabels(List.of("a", "r1", "x".repeat(VALUE_BYTES))));
        Shard shard = mHarness.takeOver();
        mHarness.run(300, shard);
        assertThat(mHarness.submit(shard, 1, ShardHarness.smallTasks(2, false)).isComplete())
                .isFalse();
        mHarness.run(300, shard);
        assertThat(startsOn("m1")).isEqualTo(2);
        assertThat(shard.state(ShardHarness.id(1)).result().verdict())
                .isEqualTo(JobAnswer.Verdict.OK);
    }
}
