package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobState;
import org.endivetray.job.QueueConfig;
import org.junit.jupiter.api.Test;

/**
 * Tests that an unexpected error in one part of a pass does not keep the others from running.
 *
 * <p>This class is not thread-safe.
 */
class UnexpectedErrorsTest {
    private static final QueueConfig ADVISED =
            new QueueConfig("advised", "h", "/a/", ShardHarness.POOL, 0, 2, 2.0, 600, true);

    private final ShardHarness mHarness = new ShardHarness();

    private JobState state(Shard shard, int job) {
        return shard.state(ShardHarness.id(job)).result().state();
    }

    /** Guards against one step that keeps all steps which rank behind it from starting. */
    @Test
    void aStepThatCannotBePlacedDoesNotKeepOthersFromStarting() {
        mHarness.mAdvisor =
                (step, minions) -> {
                    throw new IllegalStateException("unexpected");
                };
        Shard shard = mHarness.startWith("m1", "m2");
        shard.submit(ADVISED, "", ShardHarness.id(1), ShardHarness.job(ShardHarness.step(1)));
        mHarness.run(100, shard);
        mHarness.submit(shard, 2, ShardHarness.step(2));
        mHarness.run(1_500, shard);
        assertThat(state(shard, 1)).isEqualTo(JobState.QUEUED);
        assertThat(state(shard, 2)).isEqualTo(JobState.COMPLETED);
    }

    /** Guards against changes that are not sent any more while the dispatch of tasks fails. */
    @Test
    void cancellationsAreStoredAndAnsweredWhileTheDispatchFails() {
        Shard shard = mHarness.startWith("m1", "m2");
        mHarness.submit(shard, 1, ShardHarness.step(2));
        mHarness.run(200, shard);
        mHarness.mAccounts = null;
        mHarness.run(200, shard);
        Future<JobAnswer> answer = shard.cancel(ShardHarness.id(1));
        mHarness.run(500, shard);
        mHarness.mAccounts = ClientAccounts.NONE;
        assertThat(answer.isComplete()).isTrue();
        assertThat(state(nextOwner(), 1)).isEqualTo(JobState.CANCELED);
    }

    private Shard nextOwner() {
        Shard next = mHarness.takeOver();
        mHarness.run(300, next);
        return next;
    }
}
