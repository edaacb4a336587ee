package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.junit.jupiter.api.Test;

/**
 * Tests the limit of a shard's jobs and the return times of refused callers.
 *
 * <p>This class is not thread-safe.
 */
class SubmissionLimitTest {
    private static final int MAX_JOBS = 20;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final ShardState mState = new ShardState(ShardHarness.POOL, 1, new MemoryUse());
    private ClientAccounts mAccounts = ClientAccounts.of(List.of(), Set.of());
    private final SubmissionLimit mLimit =
            new SubmissionLimit(mExecutor, mState, () -> mAccounts, MAX_JOBS);

    private void fill() {
        for (int i = mState.mActiveJobs.size(); i < MAX_JOBS; i++) {
            add(i);
        }
        mLimit.hasPlace(ShardHarness.id(0));
    }

    private void add(int number) {
        StoredJob stored =
                new StoredJob(
                        ShardHarness.POOL,
                        ShardHarness.QUEUE,
                        ShardHarness.job(ShardHarness.step(1)),
                        0);
        mState.add(new JobEntry(ShardHarness.id(number), stored, 0, mExecutor.nanoTime()));
        mLimit.onAccepted();
    }

    private void end(int number) {
        mState.remove(mState.mJobs.get(ShardHarness.id(number)));
    }

    /** Ends jobs at four a second and fills the shard again. */
    private void endAndFill(int jobs) {
        for (int i = 0; i < jobs; i++) {
            mExecutor.advance(250);
            end(i);
            add(MAX_JOBS + i);
            mLimit.hasPlace(ShardHarness.id(0));
        }
    }

    @Test
    void refusedCallersAreGivenTimesThatFollowTheRateAtWhichJobsEnd() {
        fill();
        endAndFill(8);
        assertThat(mLimit.hasPlace(ShardHarness.id(100))).isFalse();
        JobAnswer first = mLimit.refuse(ShardHarness.id(100), "full");
        assertThat(first.verdict()).isEqualTo(Verdict.REFUSED);
        long last = 0;
        for (int i = 101; i < 140; i++) {
            last = mLimit.refuse(ShardHarness.id(i), "full").retryAfterMillis();
        }
        assertThat(last).isGreaterThan(4 * first.retryAfterMillis());
    }

    @Test
    void aCallerThatReturnsAtItsTimeIsNotOvertakenByOneThatComesForTheFirstTime() {
        fill();
        endAndFill(8);
        long retryAfterMillis = mLimit.refuse(ShardHarness.id(100), "full").retryAfterMillis();
        mExecutor.advance(retryAfterMillis);
        end(10);
        assertThat(mLimit.hasPlace(ShardHarness.id(101))).isFalse();
        assertThat(mLimit.hasPlace(ShardHarness.id(100))).isTrue();
        mLimit.onSubmitted(ShardHarness.id(100));
        assertThat(mLimit.hasPlace(ShardHarness.id(101))).isTrue();
    }

    @Test
    void withoutAccountsInTheConfigurationAllCallersAreGivenTheSameTime() {
        mAccounts = ClientAccounts.NONE;
        fill();
        endAndFill(8);
        assertThat(mLimit.hasPlace(ShardHarness.id(100))).isFalse();
        for (int i = 100; i < 140; i++) {
            assertThat(mLimit.refuse(ShardHarness.id(i), "full").retryAfterMillis())
                    .isEqualTo(2_000);
        }
    }
}
