package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.endivetray.job.JobSpec;
import org.endivetray.job.JobState;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that jobs run beside others whose numbers are at the ends of their ranges.
 *
 * <p>This class is not thread-safe.
 */
class ExtremeValuesTest {
    private static final int ODD = 1;
    private static final int ORDINARY = 2;
    private static final int DONE_MILLIS = 4_000;
    private static final QueueConfig ODD_QUEUE = queue(2.0, 600);

    private final ShardHarness mHarness = new ShardHarness();

    private static QueueConfig queue(double stretch, long targetLatencyMillis) {
        return new QueueConfig(
                "odd", "h", "/o/", ShardHarness.POOL, 0, 2, stretch, targetLatencyMillis, false);
    }

    private Shard start() {
        mHarness.mFarFactor = 4;
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.startsWith(ShardHarness.id(ODD)) ? 60_000 : 500, TaskEnd.DONE);
        mHarness.addMinion("p1", "p");
        mHarness.addMinion("q1", "q");
        Shard shard = mHarness.takeOver();
        mHarness.run(300, shard);
        return shard;
    }

    private void submitOdd(Shard shard, QueueConfig queue, JobSpec spec) {
        shard.submit(queue, "", ShardHarness.id(ODD), spec);
        mHarness.run(1_000, shard);
    }

    private JobState state(Shard shard, int job) {
        return shard.state(ShardHarness.id(job)).result().state();
    }

    private void assertOrdinaryJobsAreDone(Shard shard) {
        mHarness.submit(shard, ORDINARY, ShardHarness.twoTasks(500, true));
        mHarness.submit(shard, ORDINARY + 1, ShardHarness.twoTasks(500, false));
        mHarness.run(DONE_MILLIS, shard);
        assertThat(state(shard, ORDINARY)).isEqualTo(JobState.COMPLETED);
        assertThat(state(shard, ORDINARY + 1)).isEqualTo(JobState.COMPLETED);
    }

    /**
     * Guards against a pass of the dispatcher that ends with an exception for as long as a task
     * runs whose declared duration is the largest number.
     */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 2 + 1, 1L << 61, 0, -1, Long.MIN_VALUE})
    void tasksOfOneRackStartBesideATaskOfAnyDeclaredDuration(long estimateMillis) {
        Shard shard = start();
        submitOdd(shard, ODD_QUEUE, ShardHarness.job(ShardHarness.twoTasks(estimateMillis, false)));
        assertThat(state(shard, ODD)).isEqualTo(JobState.RUNNING);
        assertOrdinaryJobsAreDone(shard);
    }

    /** Guards against ranks that are wrong or fail because the objective of a queue overflows. */
    @ParameterizedTest
    @CsvSource({
        "2, 9223372036854775807, 9223372036854775807",
        "1e300, 600, 500",
        "1e300, -9223372036854775808, 9223372036854775807",
        "Infinity, 0, 500",
        "-1e300, 600, 500"
    })
    void jobsStartWhateverTheObjectiveOfTheirQueue(
            double stretch, long targetLatencyMillis, long estimateMillis) {
        Shard shard = start();
        submitOdd(
                shard,
                queue(stretch, targetLatencyMillis),
                ShardHarness.job(ShardHarness.twoTasks(estimateMillis, true)));
        assertThat(state(shard, ODD)).isEqualTo(JobState.RUNNING);
        assertOrdinaryJobsAreDone(shard);
    }

    /** Guards against an occurrence that starts years early because its due time overflows. */
    @ParameterizedTest
    @CsvSource({
        "0, 4611686018427387904, 1",
        "1700000000000, 9223372036854775807, 1",
        "9223372036854775807, 9223372036854775807, 0",
        "9223372036854775807, 1, 0",
        "-9223372036854775808, 1, 4"
    })
    void onlyOccurrencesThatAreDueStart(long firstMillis, long intervalMillis, int expected) {
        Shard shard = start();
        JobSpec spec =
                new JobSpec(
                        "payload",
                        List.of(ShardHarness.twoTasks(500, false)),
                        4,
                        firstMillis,
                        intervalMillis);
        submitOdd(shard, ODD_QUEUE, spec);
        assertThat(
                        mHarness.mMinions.mStarts.stream()
                                .map(VirtualMinions.Start::task)
                                .map(name -> name.substring(0, name.indexOf('.', 17)))
                                .distinct())
                .hasSize(expected);
        assertOrdinaryJobsAreDone(shard);
    }
}
