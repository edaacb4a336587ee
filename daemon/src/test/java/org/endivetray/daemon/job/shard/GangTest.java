package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.daemon.job.record.StoredProgress.StoredTask;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.RecordCodec;
import org.junit.jupiter.api.Test;

/**
 * Tests that a gang has one outcome: a run of it is done or has failed as a whole, whichever of its
 * tasks reports it, and under each owner of the shard.
 *
 * <p>This class is not thread-safe.
 */
class GangTest {
    private static final String ID = ShardHarness.id(1);
    private static final String FIRST = ID + ".0.0.0";
    private static final String SECOND = ID + ".0.0.1";

    private final ShardHarness mHarness = new ShardHarness();

    /** Returns a gang of two tasks on different minions. */
    private static StepSpec gang() {
        return new StepSpec(
                2, 1_000, 100, 0, 500, List.of(), false, true, false, "", "", 1, false, false, "",
                0, false, -1);
    }

    private void letTasksEnd(long millis, TaskEnd end) {
        mHarness.mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(millis, end);
    }

    private String minionOf(String task) {
        return mHarness.mMinions.mStarts.stream()
                .filter(start -> start.task().equals(task))
                .findFirst()
                .orElseThrow()
                .minion();
    }

    private JobState stateAt(Shard shard) {
        return shard.state(ID).result().state();
    }

    /** Starts a gang whose second task ends on a minion that nobody reaches. */
    private Shard startGangOfWhichOneEndIsNotSeen() {
        letTasksEnd(1_000, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2", "m3");
        mHarness.submit(shard, 1, gang());
        mHarness.run(500, shard);
        mHarness.mMinions.minion(minionOf(SECOND)).mIsUnreachable = true;
        return shard;
    }

    @Test
    void aGangIsDoneOnceOneOfItsTasksIsAlthoughTheEndOfAnotherOneIsLostWithItsMinion() {
        Shard shard = startGangOfWhichOneEndIsNotSeen();
        mHarness.run(1_000, shard);
        mHarness.mMinions.minion(minionOf(SECOND)).restart();
        mHarness.run(10_000, shard);
        assertThat(stateAt(shard)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    @Test
    void aGangIsDoneAlsoIfAnotherOneOfItsTasksWasGivenUpBefore() {
        Shard shard = startGangOfWhichOneEndIsNotSeen();
        mHarness.mMinions.minion(minionOf(FIRST)).mIsUnreachable = true;
        mHarness.mMinions.minion(minionOf(SECOND)).restart();
        mHarness.run(2_000, shard);
        mHarness.mMinions.minion(minionOf(FIRST)).mIsUnreachable = false;
        mHarness.run(10_000, shard);
        assertThat(stateAt(shard)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    @Test
    void aNewOwnerKnowsThatAGangIsDone() {
        Shard first = startGangOfWhichOneEndIsNotSeen();
        mHarness.run(1_000, first);
        Shard second = mHarness.takeOver();
        mHarness.mMinions.minion(minionOf(SECOND)).restart();
        mHarness.run(10_000, second);
        assertThat(stateAt(second)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    @Test
    void aNewOwnerToWhichOneTaskIsListedAsDoneCompletesTheGang() {
        Shard first = startGangOfWhichOneEndIsNotSeen();
        Shard second = mHarness.takeOver();
        mHarness.mMinions.minion(minionOf(SECOND)).restart();
        mHarness.run(10_000, second);
        assertThat(stateAt(second)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    /** Stores a job with a gang and the progress of its tasks. */
    private void store(StoredTask first, StoredTask second) {
        StoredJob job =
                new StoredJob(ShardHarness.POOL, ShardHarness.QUEUE, ShardHarness.job(gang()), 0);
        Map<String, StoredTask> tasks = Map.of("0.0.0", first, "0.0.1", second);
        StoredProgress progress = new StoredProgress(JobState.RUNNING, 0, tasks, 0, List.of());
        mHarness.mStore.put(JobKeys.jobs(ShardHarness.POOL) + ID, job.encode());
        mHarness.mStore.put(JobKeys.progress(ShardHarness.POOL) + ID, RecordCodec.encode(progress));
    }

    /** An owner of the earlier version has stored the end of one task only. */
    @Test
    void aGangOfWhichOneTaskIsStoredAsDoneIsDone() {
        store(StoredTask.of(true, Set.of(), 1, ""), StoredTask.of(false, Set.of(1), 1, ""));
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.run(1_000, shard);
        assertThat(stateAt(shard)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).isEmpty();
    }

    @Test
    void aGangThatHasFailedAsOftenAsTheQueueAllowsIsNotStartedAgainByANewOwner() {
        store(StoredTask.of(false, Set.of(1), 1, ""), StoredTask.of(false, Set.of(2), 2, ""));
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.run(1_000, shard);
        assertThat(stateAt(shard)).isEqualTo(JobState.FAILED);
        assertThat(mHarness.mMinions.mStarts).isEmpty();
    }

    /** The queue allows two attempts. */
    @Test
    void theFailuresOfDifferentTasksInTwoRunsOfAGangEndTheJob() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> {
                    boolean fails = task.equals(run == 1 ? FIRST : SECOND);
                    return new VirtualMinions.Outcome(
                            500, fails ? TaskEnd.FAILED : TaskEnd.GANG_BROKEN);
                };
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.submit(shard, 1, gang());
        mHarness.run(5_000, shard);
        assertThat(stateAt(shard)).isEqualTo(JobState.FAILED);
        assertThat(mHarness.mMinions.mStarts).hasSize(4);
    }

    @Test
    void aRunOfAGangOfWhichAllTasksFailCountsAsOneFailure() {
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(500, run == 1 ? TaskEnd.FAILED : TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.submit(shard, 1, gang());
        mHarness.run(5_000, shard);
        assertThat(stateAt(shard)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(4);
    }

    @Test
    void aNewOwnerStartsAllTasksOfAGangFromOneCheckpointAndUnderOneRun() {
        store(StoredTask.of(false, Set.of(), 1, ""), StoredTask.of(false, Set.of(1), 3, "saved"));
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.run(200, shard);
        assertThat(mHarness.mMinions.mStartOrders)
                .hasSize(2)
                .allMatch(order -> order.run() == 4 && order.checkpoint().equals("saved"));
    }
}
