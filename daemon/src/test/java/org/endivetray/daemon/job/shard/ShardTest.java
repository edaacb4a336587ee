package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.List;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.RecordCodec;
import org.junit.jupiter.api.Test;

/**
 * What the owner of a shard does when things go well and when they fail.
 *
 * <p>This class is not thread-safe.
 */
class ShardTest {
    private final ShardHarness mSite = new ShardHarness();

    private static final String FIRST = ShardHarness.id(1);

    private Shard startWith(String... minions) {
        for (String minion : minions) {
            mSite.addMinion(minion);
        }
        Shard shard = mSite.takeOver();
        mSite.run(300, shard);
        return shard;
    }

    private JobState stateOf(Shard shard, int number) {
        return shard.state(ShardHarness.id(number)).result().state();
    }

    /** Stores a job as a daemon does that does not reach the owner. */
    private void storeByDeputy(int number, StepSpec... steps) {
        mSite.mStore.put(
                JobKeys.inboxJobs(ShardHarness.POOL) + ShardHarness.id(number),
                RecordCodec.encode(
                        new StoredJob(
                                ShardHarness.POOL,
                                ShardHarness.QUEUE,
                                ShardHarness.job(steps),
                                0)));
    }

    @Test
    void aJobRunsStepByStepAndIsShownAsCompletedOnceStored() {
        Shard shard = startWith("m1", "m2");
        Future<JobAnswer> answer =
                mSite.submit(shard, 1, ShardHarness.step(4), ShardHarness.step(2, 0));
        mSite.run(100, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
        mSite.run(1_500, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mSite.mMinions.mStarts).hasSize(6);
        assertThat(mSite.mStore.get(JobKeys.progress(ShardHarness.POOL) + FIRST).isPresent())
                .isTrue();
    }

    @Test
    void aRepeatedSubmissionRemainsOneJob() {
        Shard shard = startWith("m1");
        mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(50, shard);
        Future<JobAnswer> again = mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(1_500, shard);
        assertThat(again.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(mSite.mMinions.mStarts).hasSize(1);
    }

    @Test
    void aSubmissionThatTheStoreRefusesIsRefusedAndNeverRuns() {
        Shard shard = startWith("m1");
        mSite.mStore.mMode = VirtualStore.Mode.REFUSING;
        Future<JobAnswer> answer = mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(500, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.REFUSED);
        mSite.mStore.mMode = VirtualStore.Mode.UP;
        mSite.run(5_000, shard);
        assertThat(mSite.mMinions.mStarts).isEmpty();
    }

    @Test
    void aSubmissionWhoseAnswerTheStoreLostIsNotRefused() {
        Shard shard = startWith("m1");
        mSite.mStore.mMode = VirtualStore.Mode.ANSWERS_LOST;
        Future<JobAnswer> answer = mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(1_000, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.UNKNOWN);
        mSite.mStore.mMode = VirtualStore.Mode.REFUSING;
        Future<JobAnswer> again = mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(1_000, shard);
        assertThat(again.result().verdict()).isNotEqualTo(Verdict.REFUSED);
        mSite.mStore.mMode = VirtualStore.Mode.UP;
        mSite.run(3_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void failuresOnTwoMinionsListedInAnyOrderAllCountAfterATakeover() {
        mSite.mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(300, TaskEnd.FAILED);
        Shard first = startWith("m1", "m2");
        mSite.submit(first, 1, ShardHarness.step(1));
        mSite.run(40, first);
        mSite.mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        // The second run goes to the other minion: the first one is asked to drain.
        String used = mSite.mMinions.mStarts.get(0).minion();
        first.drain(used, false);
        mSite.run(800, first);
        assertThat(mSite.mMinions.mStarts).hasSize(2);
        assertThat(mSite.mMinions.mStarts.get(1).minion()).isNotEqualTo(used);
        mSite.mStore.mMode = VirtualStore.Mode.UP;
        // The minion with the earlier run answers last.
        mSite.mMinions.minion(used).mIsUnreachable = true;
        Shard second = mSite.takeOver();
        mSite.run(400, second);
        mSite.mMinions.minion(used).mIsUnreachable = false;
        mSite.run(10_000, second);
        assertThat(mSite.mMinions.mStarts).hasSize(2);
        assertThat(stateOf(second, 1)).isEqualTo(JobState.FAILED);
    }

    @Test
    void aNewOwnerAdoptsWhatRunsAndStartsNothingTwice() {
        Shard first = startWith("m1", "m2");
        mSite.submit(first, 1, ShardHarness.step(6));
        mSite.run(100, first);
        Shard second = mSite.takeOver();
        mSite.run(2_000, first, second);
        assertThat(first.isLost()).isTrue();
        assertThat(stateOf(second, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mSite.mMinions.mStarts).hasSize(6);
    }

    @Test
    void nothingOfAnUnreachableMinionStartsElsewhereBeforeItsLeaseHasEnded() {
        mSite.mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard shard = startWith("m1", "m2");
        mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(200, shard);
        String used = mSite.mMinions.mStarts.get(0).minion();
        mSite.mMinions.minion(used).mIsUnreachable = true;
        mSite.run(12_000, shard);
        assertThat(mSite.mMinions.minion(used).mRuns).isEmpty();
        assertThat(mSite.mMinions.mStarts).hasSize(2);
        assertThat(mSite.mMinions.mStarts.get(1).minion()).isNotEqualTo(used);
        long between =
                mSite.mMinions.mStarts.get(1).millis() - mSite.mMinions.mStarts.get(0).millis();
        assertThat(between).isGreaterThan(6_000);
    }

    @Test
    void aStartThatIsCarriedOutLateNeverRunsBesideItsReplacement() {
        Shard shard = startWith("m1", "m2");
        mSite.mMinions.minion("m1").mOrderDelayMillis = 3_000;
        mSite.mMinions.minion("m2").mOrderDelayMillis = 3_000;
        mSite.submit(shard, 1, ShardHarness.step(1));
        mSite.run(400, shard);
        mSite.mMinions.minion("m1").mOrderDelayMillis = 0;
        mSite.mMinions.minion("m2").mOrderDelayMillis = 0;
        mSite.run(8_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mSite.mMinions.mStarts.stream().map(start -> start.run()).distinct().count())
                .isEqualTo(mSite.mMinions.mStarts.size());
    }

    @Test
    void aCancelledJobIsStoppedEverywhereAndStartsNothingMore() {
        mSite.mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard shard = startWith("m1");
        mSite.submit(shard, 1, ShardHarness.step(3), ShardHarness.step(2, 0));
        mSite.run(200, shard);
        Future<JobAnswer> answer = shard.cancel(FIRST);
        mSite.run(500, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(mSite.mMinions.minion("m1").mRuns).isEmpty();
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.CANCELED);
        mSite.run(2_000, shard);
        assertThat(mSite.mMinions.mStarts).hasSize(3);
    }

    @Test
    void aJobThatAnotherDaemonStoredIsFoundAndRun() {
        Shard shard = startWith("m1");
        storeByDeputy(1, ShardHarness.step(2));
        mSite.run(2_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aNewIncarnationOfAMinionRunsItsLostTasksAgain() {
        Shard shard = startWith("m1");
        mSite.submit(shard, 1, ShardHarness.step(2));
        mSite.run(100, shard);
        mSite.mMinions.minion("m1").restart();
        mSite.run(3_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mSite.mMinions.mStarts).hasSize(4);
    }

    @Test
    void theOwnerGoesOnWhileTheStoreIsAwayAndShowsNothingAsCompletedBeforeItIsStored() {
        Shard shard = startWith("m1");
        mSite.submit(shard, 1, ShardHarness.step(1), ShardHarness.step(1, 0));
        mSite.run(100, shard);
        mSite.mStore.mMode = VirtualStore.Mode.REFUSING;
        mSite.run(3_000, shard);
        assertThat(mSite.mMinions.mStarts).hasSize(2);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.RUNNING);
        mSite.mStore.mMode = VirtualStore.Mode.UP;
        mSite.run(1_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(List.copyOf(mSite.mShards)).hasSize(1);
    }

    @Test
    void aNewOwnerCallsAMinionEmptyOnlyAfterItHasAskedIt() {
        mSite.mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard first = startWith("m1");
        mSite.submit(first, 1, ShardHarness.step(1));
        mSite.run(200, first);
        mSite.mMinions.minion("m1").mIsUnreachable = true;
        Shard second = mSite.takeOver();
        mSite.run(50, second);
        assertThat(second.isLoaded()).isTrue();
        assertThat(second.drain("m1", false)).isFalse();
        assertThat(second.poolLoad().emptyMinions()).isEmpty();
        mSite.run(2_000, second);
        assertThat(second.drain("m1", false)).isFalse();
        assertThat(second.drain("m2", false)).isFalse();
        mSite.mMinions.minion("m1").mIsUnreachable = false;
        mSite.run(2_000, second);
        assertThat(second.drain("m1", false)).isFalse();
        assertThat(mSite.mMinions.mStarts).hasSize(1);
    }

    @Test
    void aTaskThatStandsStillIsStartedElsewhereOnceOthersOfItsKindAreKnown() {
        mSite.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.startsWith(ShardHarness.id(2)) && run == 1 ? 60_000 : 300,
                                TaskEnd.DONE);
        Shard shard = startWith("m1", "m2");
        mSite.submit(shard, 1, ShardHarness.step(8));
        mSite.run(1_000, shard);
        mSite.submit(shard, 2, ShardHarness.step(1));
        mSite.run(5_000, shard);
        assertThat(stateOf(shard, 2)).isEqualTo(JobState.COMPLETED);
        assertThat(mSite.mMinions.mStarts).hasSize(10);
    }

    @Test
    void aNewOwnerDoesNotWaitForMinionsThatEndedByOrderOrLeftLongAgo() {
        Shard first = startWith("m1", "m2", "m3");
        mSite.run(200, first);
        mSite.mRegistered.removeIf(info -> !info.id().equals("m1"));
        mSite.mMinions.minion("m2").mIsUnreachable = true;
        mSite.mMinions.minion("m3").mIsUnreachable = true;
        first.onMinionTerminated("m2");
        mSite.run(12_000, first);
        storeByDeputy(1, ShardHarness.step(1));
        Shard second = mSite.takeOver();
        mSite.run(200, second);
        assertThat(mSite.mMinions.mStarts).hasSize(1);
        mSite.run(1_000, second);
        assertThat(stateOf(second, 1)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void tasksOnASilentMinionCountAsUnavailableWhenAnotherIsToBeEmptied() {
        mSite.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(600_000, TaskEnd.DONE);
        Shard shard = startWith("m1", "m2", "m3");
        StepSpec lasting =
                new StepSpec(
                        3, 1_000, 100, 0, 0, List.of(), false, false, false, "", "", 1, false, true,
                        "", 0, false, 1);
        mSite.submit(shard, 1, lasting);
        mSite.run(5_000, shard);
        assertThat(mSite.mMinions.mStarts).hasSize(3);
        mSite.mMinions.minion("m1").mIsUnreachable = true;
        mSite.run(2_500, shard);
        for (int i = 0; i < 10; i++) {
            assertThat(shard.drain("m2", true)).isFalse();
            mSite.run(200, shard);
        }
        assertThat(mSite.mMinions.minion("m2").mRuns).hasSize(1);
    }
}
