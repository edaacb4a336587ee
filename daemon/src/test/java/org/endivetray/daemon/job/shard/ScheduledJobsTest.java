package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.endivetray.policy.job.MemoryLimit;
import org.junit.jupiter.api.Test;

/**
 * Tests jobs that run many times: what they take of the owner's memory and of the store, and which
 * occurrences run.
 *
 * <p>This class is not thread-safe.
 */
class ScheduledJobsTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int HOURS_PER_YEAR = 8_760;
    private static final int TASKS = 8;

    /** Heap of a daemon, as in the deploy file. */
    private static final long HEAP_BYTES = 200L << 20;

    private final ShardHarness mHarness = new ShardHarness();

    private Future<JobAnswer> submit(
            Shard shard, int number, int repetitions, long delayMillis, long intervalMillis) {
        JobSpec spec =
                new JobSpec(
                        "payload",
                        List.of(ShardHarness.step(TASKS)),
                        repetitions,
                        mHarness.mExecutor.currentTimeMillis() + delayMillis,
                        intervalMillis);
        return shard.submit(ShardHarness.QUEUE, "", ShardHarness.id(number), spec);
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private JobState stateOf(Shard shard, int number) {
        return shard.state(ShardHarness.id(number)).result().state();
    }

    private void assertEachTaskStartedOnce(int expected) {
        Set<String> started = new HashSet<>();
        mHarness.mMinions.mStarts.forEach(start -> started.add(start.task()));
        assertThat(started).hasSize(expected);
        assertThat(mHarness.mMinions.mStarts).hasSize(expected);
    }

    /** Guards against accepted jobs with many repetitions that fill the heap of their owner. */
    @Test
    void tenJobsThatRunHourlyForAYearTakeLessThanATenthOfTheHeap() {
        Shard shard = mHarness.startWith("m1");
        long before = usedHeapBytes();
        for (int number = 1; number <= 10; number++) {
            Future<JobAnswer> answer =
                    submit(shard, number, HOURS_PER_YEAR, HOUR_MILLIS, HOUR_MILLIS);
            mHarness.run(100, shard);
            assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
        }
        assertThat(usedHeapBytes() - before).isLessThan(HEAP_BYTES / 10);
        assertThat(stateOf(shard, 10)).isEqualTo(JobState.QUEUED);
    }

    /** Guards against a new owner that loads all occurrences of the jobs that it takes over. */
    @Test
    void aNewOwnerOfTenSuchJobsTakesLessThanATenthOfTheHeap() {
        Shard first = mHarness.startWith("m1");
        for (int number = 1; number <= 10; number++) {
            submit(first, number, HOURS_PER_YEAR, HOUR_MILLIS, HOUR_MILLIS);
        }
        mHarness.run(500, first);
        first.markLost("the test has ended it");
        mHarness.mShards.clear();
        long before = usedHeapBytes();
        Shard second = mHarness.takeOver();
        mHarness.run(500, second);
        assertThat(usedHeapBytes() - before).isLessThan(HEAP_BYTES / 10);
        assertThat(stateOf(second, 10)).isEqualTo(JobState.QUEUED);
    }

    /** Guards against due occurrences that together fill the heap, as after a long outage. */
    @Test
    void aThousandOverdueOccurrencesOfTenJobsTakeLessThanATenthOfTheHeap() {
        Shard shard = mHarness.startWith("m1");
        long before = usedHeapBytes();
        for (int number = 1; number <= 10; number++) {
            submit(shard, number, HOURS_PER_YEAR, -HOUR_MILLIS, 1);
        }
        mHarness.run(2_000, shard);
        assertThat(usedHeapBytes() - before).isLessThan(HEAP_BYTES / 10);
        assertThat(mHarness.mMinions.mStarts).hasSizeGreaterThan(TASKS);
        submit(shard, 11, 0, 0, 0);
        mHarness.run(3_000, shard);
        assertThat(stateOf(shard, 11)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void eachOccurrenceRunsOnceWhenDueAlsoIfTheOwnerChangesMeanwhile() {
        Shard first = mHarness.startWith("m1", "m2");
        submit(first, 1, 6, 1_000, 1_000);
        mHarness.run(900, first);
        assertThat(mHarness.mMinions.mStarts).isEmpty();
        mHarness.run(2_300, first);
        assertEachTaskStartedOnce(3 * TASKS);
        Shard second = mHarness.takeOver();
        mHarness.run(1_500, second);
        Shard third = mHarness.takeOver();
        mHarness.run(4_000, third);
        assertEachTaskStartedOnce(6 * TASKS);
        assertThat(stateOf(third, 1)).isEqualTo(JobState.COMPLETED);
    }

    /** Guards against records that grow with each occurrence until the store refuses them. */
    @Test
    void theStoredProgressDoesNotGrowWithTheOccurrencesThatAreDone() {
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, 60, 0, 600);
        mHarness.run(12_000, shard);
        int early = progressBytes();
        mHarness.run(21_000, shard);
        assertThat(mHarness.mMinions.mStarts).hasSizeGreaterThan(50 * TASKS);
        assertThat(progressBytes()).isLessThan(early + 50);
    }

    private int progressBytes() {
        return mHarness.mStore
                .get(JobKeys.progress(ShardHarness.POOL) + ShardHarness.id(1))
                .value()
                .length;
    }

    /** Guards against cancelled jobs that keep the memory of their tasks until they are purged. */
    @Test
    void cancelledJobsOfManyTasksTakeLessThanATenthOfTheHeap() {
        Shard shard = mHarness.startWith("m1");
        long before = usedHeapBytes();
        StepSpec large = ShardHarness.step(10_000);
        for (int number = 1; number <= 20; number++) {
            mHarness.submit(shard, number, large);
            mHarness.run(100, shard);
            shard.cancel(ShardHarness.id(number));
            mHarness.run(400, shard);
            assertThat(stateOf(shard, number)).isEqualTo(JobState.CANCELED);
        }
        assertThat(usedHeapBytes() - before).isLessThan(HEAP_BYTES / 10);
    }

    /** As above, for jobs that have progress when they are cancelled. */
    @Test
    void cancelledJobsWithProgressTakeLessThanATenthOfTheHeap() {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(50, TaskEnd.STOPPED);
        mHarness.mMinions.mCheckpoint = task -> "saved";
        Shard shard = mHarness.startWith("m1");
        long before = usedHeapBytes();
        for (int number = 1; number <= 20; number++) {
            mHarness.submit(shard, number, ShardHarness.step(10_000));
            mHarness.run(400, shard);
            shard.cancel(ShardHarness.id(number));
            mHarness.run(400, shard);
            assertThat(stateOf(shard, number)).isEqualTo(JobState.CANCELED);
        }
        assertThat(usedHeapBytes() - before).isLessThan(HEAP_BYTES / 10);
    }

    /** Guards against a refusal of a job that is stored by an earlier attempt later on. */
    @Test
    void aJobWhoseEarlierAttemptMayHaveBeenStoredIsNotRefusedForLackOfMemory() {
        Shard shard = mHarness.startWith("m1");
        mHarness.mStore.mMode = VirtualStore.Mode.ANSWERS_LOST;
        Future<JobAnswer> first = mHarness.submit(shard, 1, ShardHarness.step(1));
        mHarness.run(1_000, shard);
        assertThat(first.result().verdict()).isEqualTo(Verdict.UNKNOWN);
        mHarness.mMemory.addRecordBytes(MemoryLimit.MAX_RECORD_BYTES);
        Future<JobAnswer> again = mHarness.submit(shard, 1, ShardHarness.step(1));
        Future<JobAnswer> other = mHarness.submit(shard, 2, ShardHarness.step(1));
        mHarness.mStore.mMode = VirtualStore.Mode.UP;
        mHarness.run(2_000, shard);
        assertThat(again.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(other.result().verdict()).isEqualTo(Verdict.REFUSED);
        assertThat(stateOf(shard, 1)).isEqualTo(JobState.COMPLETED);
    }

    /** Guards against a count that rises with each job and refuses all jobs in the end. */
    @Test
    void nothingIsCountedAsHeldOnceAllJobsAreRemovedOrTheShardIsLost() {
        Shard shard = mHarness.startWith("m1", "m2");
        for (int number = 1; number <= 20; number++) {
            mHarness.submit(shard, number, ShardHarness.step(2), ShardHarness.step(1, 0));
            submit(shard, 100 + number, 3, 0, 300);
        }
        mHarness.run(300, shard);
        shard.cancel(ShardHarness.id(7));
        mHarness.run(30_000, shard);
        assertThat(mHarness.mMemory.current().unscheduledTasks()).isZero();
        assertThat(mHarness.mMemory.current().scheduledTasks()).isZero();
        assertThat(mHarness.mMemory.current().recordBytes()).isPositive();
        mHarness.run(200_000, shard);
        assertThat(mHarness.mMemory.current().recordBytes()).isZero();
        mHarness.submit(shard, 50, ShardHarness.step(8));
        mHarness.run(100, shard);
        assertThat(mHarness.mMemory.current().unscheduledTasks()).isPositive();
        shard.markLost("the test has ended it");
        mHarness.run(5_000, shard);
        assertThat(mHarness.mMemory.current()).isEqualTo(new MemoryLimit.Use(0, 0, 0));
    }
}
