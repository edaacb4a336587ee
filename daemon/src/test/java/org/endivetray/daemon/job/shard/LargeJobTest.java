package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.List;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobState;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.VersionedValue;
import org.junit.jupiter.api.Test;

/**
 * Tests jobs of thousands of tasks, whose progress is one large record.
 *
 * <p>This class is not thread-safe.
 */
class LargeJobTest {
    private static final int TASKS = 6_000;
    private static final long TICK_MILLIS = 10;
    private static final long MAX_MILLIS = 60_000;

    /** Most bytes of one job's progress that may be written in a second. */
    private static final long MAX_BYTES_PER_SECOND = 2_000_000;

    private final ShardHarness mHarness = new ShardHarness();

    private static StepSpec smallTasks() {
        return new StepSpec(
                TASKS, 10, 1, 0, 100, List.of(), false, false, false, "", "", 0, false, false, "",
                0, false, -1);
    }

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
        Future<JobAnswer> answer = mHarness.submit(shard, 1, smallTasks());
        String key = JobKeys.progress(ShardHarness.POOL) + ShardHarness.id(1);
        long bytes = 0;
        long largest = 0;
        long version = 0;
        long millis = 0;
        while (millis < MAX_MILLIS && !isCompleted(shard)) {
            mHarness.run(TICK_MILLIS, shard);
            millis += TICK_MILLIS;
            VersionedValue progress = mHarness.mStore.get(key);
            if (progress.version() > version) {
                version = progress.version();
                bytes += progress.value().length;
                largest = Math.max(largest, progress.value().length);
            }
        }
        assertThat(answer.result().verdict()).isEqualTo(JobAnswer.Verdict.OK);
        assertThat(isCompleted(shard)).as("completed after %d ms", millis).isTrue();
        assertThat(bytes).isLessThan(largest + MAX_BYTES_PER_SECOND * millis / 1_000);
        assertThat(mHarness.mMinions.mStarts).hasSize(TASKS);
    }

    private boolean isCompleted(Shard shard) {
        Future<JobAnswer> state = shard.state(ShardHarness.id(1));
        return state.result().state() == JobState.COMPLETED;
    }
}
