package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests a shard in normal operation and under failures of its owner, its minions and the store.
 *
 * <p>This class is not thread-safe.
 */
class ShardTest {
    private final ShardHarness mHarness = new ShardHarness();

    private static final String FIRST = ShardHarness.id(1);

    private JobState stateOf(Shard shard, int number) {
        return shard.state(ShardHarness.id(number)).result().state();
    }

    /** Stores a job in the inbox whose only step comes after another one. */
    private void storeJobAfterStep(int number) {
        StoredJob job =
                new StoredJob(
                        ShardHarness.POOL,
                        ShardHarness.QUEUE,
                        ShardHarness.job(ShardHarness.step(1)),
                        0);
        String record = new String(job.encode(), StandardCharsets.UTF_8);
        String damaged = record.replace("\"after\":[]", "\"after\":[" + number + "]");
        assertThat(damaged).isNotEqualTo(record);
        mHarness.mStore.put(
                JobKeys.inboxJobs(ShardHarness.POOL) + FIRST,
                damaged.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aJobRunsStepByStepAndIsShownAsCompletedOnceStored() {
        Shard shard = mHarness.startWith("m1", "m2");
        Future<JobAnswer> answer =
                mHarness.submit(shard, 1, ShardHarness.step(4), ShardHarness.step(2, 0));
        mHarness.run(100, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
        mHarness.run(1_500, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(6);
        assertThat(mHarness.mStore.get(JobKeys.progress(ShardHarness.POOL) + FIRST).isPresent())
                .isTrue();
    }

    @Test
    void aRepeatedSubmissionAddsNoSecondJob() {
        Shard shard = mHarness.startWith("m1");
        mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(50, shard);
        Future<JobAnswer> again = mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(1_500, shard);
        assertThat(again.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(mHarness.mMinions.mStarts).hasSize(1);
    }

    @Test
    void aSubmissionThatTheStoreRefusesIsRefusedAndNeverRuns() {
        Shard shard = mHarness.startWith("m1");
        mHarness.mStore.mMode = VirtualStore.Mode.REFUSING;
        Future<JobAnswer> answer = mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(500, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.REFUSED);
        mHarness.mStore.mMode = VirtualStore.Mode.UP;
        mHarness.run(5_000, shard);
        assertThat(mHarness.mMinions.mStarts).isEmpty();
    }

    @Test
    void aSubmissionWhoseAnswerTheStoreLostIsNotRefused() {
        Shard shard = mHarness.startWith("m1");
        mHarness.mStore.mMode = VirtualStore.Mode.ANSWERS_LOST;
        Future<JobAnswer> answer = mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(1_000, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.UNKNOWN);
        mHarness.mStore.mMode = VirtualStore.Mode.REFUSING;
        Future<JobAnswer> again = mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(1_000, shard);
        assertThat(again.result().verdict()).isNotEqualTo(Verdict.REFUSED);
        mHarness.mStore.mMode = VirtualStore.Mode.UP;
        mHarness.run(3_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void theFailuresOfATaskOnTwoMinionsAllCountAfterATakeoverWhenTheEarlierOneIsListedLast() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(300, TaskEnd.FAILED);
        Shard first = mHarness.startWith("m1", "m2");
        mHarness.submit(first, 1, ShardHarness.step(1));
        mHarness.run(40, first);
        mHarness.mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        // The used minion is asked to drain, so that the second run starts on the other one.
        String used = mHarness.mMinions.mStarts.get(0).minion();
        first.drain(used, false);
        mHarness.run(800, first);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
        assertThat(mHarness.mMinions.mStarts.get(1).minion()).isNotEqualTo(used);
        mHarness.mStore.mMode = VirtualStore.Mode.UP;
        // The minion with the earlier run answers last.
        mHarness.mMinions.minion(used).mIsUnreachable = true;
        Shard second = mHarness.takeOver();
        mHarness.run(400, second);
        mHarness.mMinions.minion(used).mIsUnreachable = false;
        mHarness.run(10_000, second);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
        assertThat(stateOf(second, 1)).isEqualTo(JobState.FAILED);
    }

    @Test
    void aNewOwnerAdoptsRunningTasksAndStartsNoneTwice() {
        Shard first = mHarness.startWith("m1", "m2");
        mHarness.submit(first, 1, ShardHarness.step(6));
        mHarness.run(100, first);
        Shard second = mHarness.takeOver();
        mHarness.run(2_000, first, second);
        assertThat(first.isLost()).isTrue();
        assertThat(stateOf(second, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(6);
    }

    @Test
    void noTaskOfAnUnreachableMinionStartsElsewhereBeforeItsLeaseHasExpired() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(200, shard);
        String used = mHarness.mMinions.mStarts.get(0).minion();
        mHarness.mMinions.minion(used).mIsUnreachable = true;
        mHarness.run(12_000, shard);
        assertThat(mHarness.mMinions.minion(used).mRuns).isEmpty();
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
        assertThat(mHarness.mMinions.mStarts.get(1).minion()).isNotEqualTo(used);
        long between =
                mHarness.mMinions.mStarts.get(1).millis()
                        - mHarness.mMinions.mStarts.get(0).millis();
        assertThat(between).isGreaterThan(6_000);
    }

    @Test
    void aStartThatIsCarriedOutLateNeverRunsAlongWithItsReplacement() {
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.mMinions.minion("m1").mOrderDelayMillis = 3_000;
        mHarness.mMinions.minion("m2").mOrderDelayMillis = 3_000;
        mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(400, shard);
        mHarness.mMinions.minion("m1").mOrderDelayMillis = 0;
        mHarness.mMinions.minion("m2").mOrderDelayMillis = 0;
        mHarness.run(8_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts.stream().map(start -> start.run()).distinct().count())
                .isEqualTo(mHarness.mMinions.mStarts.size());
    }

    @Test
    void aCancelledJobIsStoppedEverywhereAndStartsNoMoreTasks() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1");
        mHarness.submit(shard, 1, ShardHarness.step(3), ShardHarness.step(2, 0));
        mHarness.run(200, shard);
        Future<JobAnswer> answer = shard.cancel(FIRST);
        mHarness.run(500, shard);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(mHarness.mMinions.minion("m1").mRuns).isEmpty();
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.CANCELED);
        mHarness.run(2_000, shard);
        assertThat(mHarness.mMinions.mStarts).hasSize(3);
    }

    @Test
    void aJobThatAnotherDaemonStoredInTheInboxIsRun() {
        Shard shard = mHarness.startWith("m1");
        mHarness.storeInInbox(1, ShardHarness.step(2));
        mHarness.run(2_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aNewIncarnationOfAMinionRunsItsLostTasksAgain() {
        Shard shard = mHarness.startWith("m1");
        mHarness.submit(shard, 1, ShardHarness.step(2));
        mHarness.run(100, shard);
        mHarness.mMinions.minion("m1").restart();
        mHarness.run(3_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(4);
    }

    @Test
    void theOwnerStartsTasksDuringAStoreOutageAndShowsNoJobAsCompletedBeforeItIsStored() {
        Shard shard = mHarness.startWith("m1");
        mHarness.submit(shard, 1, ShardHarness.step(1), ShardHarness.step(1, 0));
        mHarness.run(100, shard);
        mHarness.mStore.mMode = VirtualStore.Mode.REFUSING;
        mHarness.run(3_000, shard);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.RUNNING);
        mHarness.mStore.mMode = VirtualStore.Mode.UP;
        mHarness.run(1_000, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
        assertThat(List.copyOf(mHarness.mShards)).hasSize(1);
    }

    @Test
    void aNewOwnerReportsAMinionAsEmptyOnlyAfterItHasAnswered() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard first = mHarness.startWith("m1");
        mHarness.submit(first, 1, ShardHarness.step(1));
        mHarness.run(200, first);
        mHarness.mMinions.minion("m1").mIsUnreachable = true;
        Shard second = mHarness.takeOver();
        mHarness.run(50, second);
        assertThat(second.isLoaded()).isTrue();
        assertThat(second.drain("m1", false)).isEmpty();
        assertThat(second.poolLoad().emptyMinions()).isEmpty();
        mHarness.run(2_000, second);
        assertThat(second.drain("m1", false)).isEmpty();
        assertThat(second.drain("m2", false)).isEmpty();
        mHarness.mMinions.minion("m1").mIsUnreachable = false;
        mHarness.run(2_000, second);
        assertThat(second.drain("m1", false)).isEmpty();
        assertThat(mHarness.mMinions.mStarts).hasSize(1);
    }

    @Test
    void aStalledTaskIsStartedElsewhereOnceTheDurationOfItsKindIsLearnt() {
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.startsWith(ShardHarness.id(2)) && run == 1 ? 60_000 : 300,
                                TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.submit(shard, 1, ShardHarness.step(8));
        mHarness.run(1_000, shard);
        mHarness.submit(shard, 2, ShardHarness.step(1));
        mHarness.run(5_000, shard);
        assertThat(stateOf(shard, 2)).isEqualTo(JobState.COMPLETED);
        assertThat(mHarness.mMinions.mStarts).hasSize(10);
    }

    @Test
    void aNewOwnerDoesNotWaitForMinionsThatWereTerminatedOrUnregisteredLongAgo() {
        Shard first = mHarness.startWith("m1", "m2", "m3");
        mHarness.run(200, first);
        mHarness.mRegistered.removeIf(info -> !info.id().equals("m1"));
        mHarness.mMinions.minion("m2").mIsUnreachable = true;
        mHarness.mMinions.minion("m3").mIsUnreachable = true;
        first.onMinionTerminated("m2", 1);
        mHarness.run(12_000, first);
        mHarness.storeInInbox(1, ShardHarness.step(1));
        Shard second = mHarness.takeOver();
        mHarness.run(200, second);
        assertThat(mHarness.mMinions.mStarts).hasSize(1);
        mHarness.run(1_000, second);
        assertThat(stateOf(second, 1)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aTaskOnAnUnresponsiveMinionCountsAsUnavailableWhenAnotherMinionIsDrained() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(600_000, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2", "m3");
        StepSpec longRunningStep =
                new StepSpec(
                        3, 1_000, 100, 0, 0, List.of(), false, false, false, "", "", 1, false, true,
                        "", 0, false, 1);
        mHarness.submit(shard, 1, longRunningStep);
        mHarness.run(5_000, shard);
        assertThat(mHarness.mMinions.mStarts).hasSize(3);
        mHarness.mMinions.minion("m1").mIsUnreachable = true;
        mHarness.run(2_500, shard);
        for (int i = 0; i < 10; i++) {
            assertThat(shard.drain("m2", true)).isEmpty();
            mHarness.run(200, shard);
        }
        assertThat(mHarness.mMinions.minion("m2").mRuns).hasSize(1);
    }

    @Test
    void aJobWhoseStartOrderWasNotCarriedOutIsQueuedAndPending() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(60_000, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1");
        mHarness.mMinions.minion("m1").mIsUnreachable = true;
        mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(2_000, shard);
        assertThat(mHarness.mMinions.mStarts).isEmpty();
        assertThat(shard.pending(ShardHarness.QUEUE.name()).result().pending()).isEqualTo(1);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.QUEUED);
        mHarness.mMinions.minion("m1").mIsUnreachable = false;
        mHarness.run(3_000, shard);
        assertThat(shard.pending(ShardHarness.QUEUE.name()).result().pending()).isZero();
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.RUNNING);
    }

    @Test
    void aJobWhoseStartWasNotAnsweredIsRunningOnceItsEndIsListed() {
        mHarness.mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(50, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1");
        mHarness.mMinions.minion("m1").mOrderDelayMillis = 200;
        mHarness.submit(shard, 1, ShardHarness.step(1), ShardHarness.step(1, 0));
        mHarness.run(100, shard);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.QUEUED);
        mHarness.run(2_000, shard);
        mHarness.mMinions.minion("m1").mOrderDelayMillis = 0;
        mHarness.run(900, shard);
        assertThat(shard.pending(ShardHarness.QUEUE.name()).result().pending()).isZero();
        assertThat(stateOf(shard, 1)).isNotEqualTo(JobState.QUEUED);
    }

    @Test
    void theMinionThatHasWaitedLongestToBeDrainedGivesUpItsTasksFirst() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(600_000, TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2", "m3", "m4", "m5");
        StepSpec longRunningStep =
                new StepSpec(
                        4, 1_000, 100, 0, 0, List.of(), false, false, false, "", "", 1, false, true,
                        "", 0, false, 1);
        mHarness.submit(shard, 1, longRunningStep);
        mHarness.run(5_000, shard);
        List<String> used =
                mHarness.mMinions.mStarts.stream().map(start -> start.minion()).sorted().toList();
        assertThat(used).hasSize(4);
        // The first drain uses up the only outage that the step allows; two others then wait.
        shard.drain(used.get(1), false);
        mHarness.run(200, shard);
        shard.drain(used.get(3), false);
        mHarness.run(200, shard);
        while (mHarness.mMinions.minion(used.get(3)).mRuns.size()
                        + mHarness.mMinions.minion(used.get(0)).mRuns.size()
                == 2) {
            shard.drain(used.get(0), false);
            shard.drain(used.get(3), false);
            mHarness.run(100, shard);
        }
        assertThat(mHarness.mMinions.minion(used.get(3)).mRuns).isEmpty();
    }

    @Test
    void aStoredJobWhoseStepsCannotBeOrderedDoesNotKeepOtherJobsFromRunning() {
        Shard first = mHarness.startWith("m1");
        storeJobAfterStep(7);
        mHarness.storeInInbox(2, ShardHarness.step(1));
        mHarness.run(2_000, first);
        assertThat(stateOf(first, 2)).isEqualTo(JobState.COMPLETED);
        mHarness.storeInInbox(3, ShardHarness.step(1));
        Shard second = mHarness.takeOver();
        mHarness.run(2_000, second);
        assertThat(stateOf(second, 3)).isEqualTo(JobState.COMPLETED);
    }
}
