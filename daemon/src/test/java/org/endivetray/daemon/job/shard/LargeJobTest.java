package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.daemon.job.record.StoredProgress.StoredTask;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.MinionOrders.StartOrder;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests jobs of thousands of tasks, whose progress is one large record.
 *
 * <p>This class is not thread-safe.
 */
class LargeJobTest {
    private static final int TASKS = 6_000;
    private static final List<String> MINIONS = List.of("m1", "m2", "m3", "m4");
    private static final long TICK_MILLIS = 10;
    private static final long MAX_MILLIS = 60_000;

    /** Most bytes of one job's progress that may be written in a second. */
    private static final long MAX_BYTES_PER_SECOND = 2_000_000;

    private final ShardHarness mHarness = new ShardHarness();

    /**
     * Guards against an owner that is kept from renewing its lease, since it encodes and writes the
     * whole progress of a job again for each few of its ends.
     */
    @Test
    void theProgressOfALargeJobIsWrittenAtABoundedRateWhileItsTasksEnd() {
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                100 + Math.floorMod(task.hashCode(), 5_000), TaskEnd.DONE);
        Shard shard = mHarness.startWith("m1", "m2", "m3", "m4");
        Future<JobAnswer> answer = mHarness.submit(shard, 1, ShardHarness.smallTasks(TASKS, false));
        String key = JobKeys.progress(ShardHarness.POOL) + ShardHarness.id(1);
        long bytes = 0;
        long largest = 0;
        Map<String, Long> versions = new HashMap<>();
        long millis = 0;
        while (millis < MAX_MILLIS && !isCompleted(shard)) {
            mHarness.run(TICK_MILLIS, shard);
            millis += TICK_MILLIS;
            int all = 0;
            for (VersionedValue record : mHarness.mStore.withPrefix(key).values()) {
                all += record.value().length;
                if (record.version() > versions.getOrDefault(record.key(), 0L)) {
                    versions.put(record.key(), record.version());
                    bytes += record.value().length;
                }
            }
            largest = Math.max(largest, all);
        }
        assertThat(answer.result().verdict()).isEqualTo(JobAnswer.Verdict.OK);
        assertThat(isCompleted(shard)).as("completed after %d ms", millis).isTrue();
        assertThat(bytes).isLessThan(largest + MAX_BYTES_PER_SECOND * millis / 1_000);
        assertThat(mHarness.mMinions.mStarts).hasSize(TASKS);
    }

    /** Large minions, so that all tasks of a job run at the same time. */
    private Shard startWithLargeMinions() {
        for (String minion : MINIONS) {
            mHarness.mRegistered.add(mHarness.mMinions.add(minion, ShardHarness.POOL, 700_000));
        }
        Shard shard = mHarness.takeOver();
        mHarness.run(300, shard);
        return shard;
    }

    private static StepSpec mostTasks() {
        return ShardHarness.smallTasks(JobSpec.MAX_TASKS, true);
    }

    private static VirtualMinions.Behaviour endingOverSeconds(long first, int spread, TaskEnd end) {
        return (task, run) ->
                new VirtualMinions.Outcome(first + Math.floorMod(task.hashCode(), spread), end);
    }

    private long acknowledgedEnds() {
        return mHarness.mMinions.mAllEnds.stream().filter(end -> end.mIsAcknowledged).count();
    }

    private void runUntilAcknowledged(Shard shard, int ends) {
        for (long millis = 0; millis < MAX_MILLIS && acknowledgedEnds() < ends; millis += 100) {
            mHarness.run(100, shard);
        }
        assertThat(acknowledgedEnds()).isGreaterThanOrEqualTo(ends);
    }

    /** Returns the tasks that were started after an acknowledged end showed that they are done. */
    private List<String> startedAfterDone() {
        Map<String, Long> done = new HashMap<>();
        for (VirtualEnd end : mHarness.mMinions.mAllEnds) {
            if (end.mIsAcknowledged && end.mEnded.end() == TaskEnd.DONE) {
                done.merge(end.mEnded.task(), end.mMillis, Math::min);
            }
        }
        return mHarness.mMinions.mStarts.stream()
                .filter(start -> start.millis() > done.getOrDefault(start.task(), Long.MAX_VALUE))
                .map(VirtualMinions.Start::task)
                .toList();
    }

    /**
     * Guards against tasks that run again under the next owner, although their ends were
     * acknowledged, because the progress of their job was too large for one stored value.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 64, 900})
    void noTaskWhoseEndWasAcknowledgedIsStartedByTheNextOwner(int checkpointLength) {
        mHarness.mMinions.mCheckpoint = task -> "c".repeat(checkpointLength);
        mHarness.mMinions.mBehaviour = endingOverSeconds(2_000, 8_000, TaskEnd.DONE);
        Shard first = startWithLargeMinions();
        mHarness.submit(first, 1, mostTasks());
        runUntilAcknowledged(first, JobSpec.MAX_TASKS / 4);
        first.markLost("killed");
        Shard second = mHarness.takeOver();
        mHarness.run(3_000, second);
        Shard third = mHarness.takeOver();
        for (long millis = 0; millis < MAX_MILLIS && !isCompleted(third); millis += 100) {
            mHarness.run(100, third);
        }
        assertThat(startedAfterDone()).isEmpty();
        assertThat(isCompleted(third)).isTrue();
    }

    /** As above, for a cancellation that was answered. */
    @Test
    void aLargeJobWhoseCancellationWasAnsweredIsCancelledForTheNextOwner() {
        mHarness.mMinions.mCheckpoint = task -> "c".repeat(64);
        mHarness.mMinions.mBehaviour = endingOverSeconds(2_000, 8_000, TaskEnd.DONE);
        Shard first = startWithLargeMinions();
        mHarness.submit(first, 1, mostTasks());
        runUntilAcknowledged(first, JobSpec.MAX_TASKS / 4);
        Future<JobAnswer> answer = first.cancel(ShardHarness.id(1));
        mHarness.run(3_000, first);
        int starts = mHarness.mMinions.mStarts.size();
        first.markLost("killed");
        Shard second = mHarness.takeOver();
        mHarness.run(10_000, second);
        assertThat(answer.succeeded() && answer.result().verdict() == JobAnswer.Verdict.OK)
                .as("cancellation answered")
                .isTrue();
        assertThat(second.state(ShardHarness.id(1)).result().state()).isEqualTo(JobState.CANCELED);
        assertThat(mHarness.mMinions.mStarts).hasSize(starts);
    }

    /** Guards against checkpoints that are lost because they are long or because there are many. */
    @ParameterizedTest
    @ValueSource(ints = {64, 900, 200_000})
    void theNextOwnerStartsStoppedTasksFromTheirStoredCheckpoints(int checkpointLength) {
        int tasks = checkpointLength > 10_000 ? 20 : 4_000;
        mHarness.mMinions.mCheckpoint = task -> task + "c".repeat(checkpointLength);
        mHarness.mMinions.mBehaviour = endingOverSeconds(2_000, 1_000, TaskEnd.STOPPED);
        Shard first = startWithLargeMinions();
        mHarness.submit(first, 1, ShardHarness.smallTasks(tasks, true));
        mHarness.run(1_500, first);
        mHarness.mMinions.mBehaviour = endingOverSeconds(60_000, 1_000, TaskEnd.DONE);
        runUntilAcknowledged(first, tasks);
        first.markLost("killed");
        mHarness.mMinions.all().forEach(VirtualMinions.Minion::restart);
        int starts = mHarness.mMinions.mStartOrders.size();
        Shard second = mHarness.takeOver();
        mHarness.run(12_000, second);
        List<StartOrder> orders =
                mHarness.mMinions.mStartOrders.subList(
                        starts, mHarness.mMinions.mStartOrders.size());
        assertThat(orders.stream().map(StartOrder::task).distinct()).hasSize(tasks);
        assertThat(orders.stream().filter(order -> !order.checkpoint().startsWith(order.task())))
                .isEmpty();
    }

    /**
     * Stores a job of which every second task is done, as an earlier version did, in one record.
     */
    private void storeInOneRecord(int tasks) {
        String id = ShardHarness.id(1);
        Map<String, StoredTask> stored = new HashMap<>();
        for (int i = 0; i < tasks; i++) {
            String checkpoint = id + ".0.0." + i + "c".repeat(100);
            stored.put(
                    "0.0." + i,
                    StoredTask.of(i % 2 == 0, Set.of(), 1, i % 2 == 0 ? "" : checkpoint));
        }
        JobSpec spec = ShardHarness.job(ShardHarness.smallTasks(tasks, true));
        mHarness.mStore.put(
                JobKeys.jobs(ShardHarness.POOL) + id,
                new StoredJob(ShardHarness.POOL, ShardHarness.QUEUE, spec, 0).encode());
        mHarness.mStore.put(
                JobKeys.progress(ShardHarness.POOL) + id,
                RecordCodec.encode(new StoredProgress(JobState.RUNNING, 0, stored, 0, List.of())));
    }

    /** Guards against progress that is lost when a record of an earlier version is divided. */
    @Test
    void theProgressThatAnEarlierVersionHasStoredInOneRecordIsKept() {
        int tasks = 4_000;
        storeInOneRecord(tasks);
        mHarness.mMinions.mBehaviour = endingOverSeconds(1_000, 3_000, TaskEnd.DONE);
        Shard first = startWithLargeMinions();
        runUntilAcknowledged(first, tasks / 4);
        first.markLost("killed");
        mHarness.mMinions.all().forEach(VirtualMinions.Minion::restart);
        Shard second = mHarness.takeOver();
        for (long millis = 0; millis < MAX_MILLIS && !isCompleted(second); millis += 100) {
            mHarness.run(100, second);
        }
        assertThat(isCompleted(second)).isTrue();
        assertThat(startedAfterDone()).isEmpty();
        assertThat(mHarness.mMinions.mStartOrders.stream().map(StartOrder::task).distinct())
                .hasSize(tasks / 2);
        assertThat(
                        mHarness.mMinions.mStartOrders.stream()
                                .filter(order -> !order.checkpoint().startsWith(order.task())))
                .isEmpty();
    }

    /** Guards against a checkpoint that no record can hold, which holds up all ends of a pool. */
    @ParameterizedTest
    @ValueSource(strings = {"\ud800", "\udc00\ud800", "\u0000\"\\\uffff", "\ud83d\ude00"})
    void aCheckpointMayBeAnyText(String text) {
        mHarness.mMinions.mCheckpoint = task -> text;
        mHarness.mMinions.mBehaviour = endingOverSeconds(1_000, 10, TaskEnd.STOPPED);
        Shard first = startWithLargeMinions();
        mHarness.submit(first, 1, ShardHarness.step(4));
        runUntilAcknowledged(first, 4);
        first.markLost("killed");
        mHarness.mMinions.all().forEach(VirtualMinions.Minion::restart);
        int starts = mHarness.mMinions.mStartOrders.size();
        mHarness.run(12_000, mHarness.takeOver());
        assertThat(mHarness.mMinions.mStartOrders.size()).isGreaterThan(starts);
        assertThat(mHarness.mMinions.mStartOrders.get(starts).checkpoint()).isEqualTo(text);
    }

    private boolean isCompleted(Shard shard) {
        Future<JobAnswer> state = shard.state(ShardHarness.id(1));
        return state.succeeded() && state.result().state() == JobState.COMPLETED;
    }
}
