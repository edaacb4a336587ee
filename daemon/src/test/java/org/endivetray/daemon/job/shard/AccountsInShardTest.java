package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobState;
import org.endivetray.job.Resources;
import org.junit.jupiter.api.Test;

/**
 * Tests that a shard whose pool is full serves submissions within their account's rate first.
 *
 * <p>The minion has room for 8 tasks of one core.
 *
 * <p>This class is not thread-safe.
 */
class AccountsInShardTest {
    private static final int HOT_JOBS = 12;
    private static final int TASKS = 8;

    private final ShardHarness mHarness = new ShardHarness();

    private static ClientAccount account(String name, double weight) {
        return new ClientAccount(name, Set.of(name), 0, weight, new Resources(0, 0, 0));
    }

    private void submit(Shard shard, int number, String account) {
        shard.submit(
                ShardHarness.QUEUE,
                account,
                ShardHarness.id(number),
                ShardHarness.job(ShardHarness.step(TASKS)));
    }

    /** Returns the numbers of the jobs in the order in which their first task was started. */
    private List<Integer> startedJobs() {
        return mHarness.mMinions.mStarts.stream()
                .map(start -> Integer.parseInt(start.task().substring(0, 16), 16))
                .distinct()
                .toList();
    }

    /** One account sends many jobs, then another sends one. */
    private Shard submitAll() {
        Shard shard = mHarness.startWith("m1");
        for (int i = 1; i <= HOT_JOBS; i++) {
            submit(shard, i, "hot");
        }
        mHarness.run(100, shard);
        submit(shard, 100, "other");
        mHarness.run(100, shard);
        return shard;
    }

    private void configureAccounts() {
        mHarness.mAccounts =
                ClientAccounts.of(List.of(account("hot", 2), account("other", 2)), Set.of());
    }

    @Test
    void aJobWithinTheRateOfItsAccountGoesBeforeThoseThatAnotherSentBeyondItsRate() {
        configureAccounts();
        Shard shard = submitAll();
        mHarness.run(10_000, shard);
        // Two jobs are within the rate of the first account.
        assertThat(startedJobs().indexOf(100)).isLessThanOrEqualTo(2);
        assertThat(startedJobs()).hasSize(HOT_JOBS + 1);
    }

    @Test
    void theNextOwnerServesTheAccountsInTheSameOrder() {
        configureAccounts();
        submitAll();
        Shard next = mHarness.takeOver();
        mHarness.run(20_000, next);
        assertThat(startedJobs().indexOf(100)).isLessThanOrEqualTo(3);
        assertThat(startedJobs()).hasSize(HOT_JOBS + 1);
    }

    @Test
    void withoutAccountsInTheConfigurationAllJobsKeepTheOrderOfTheirRank() {
        Shard shard = submitAll();
        mHarness.run(10_000, shard);
        assertThat(startedJobs().indexOf(100)).isGreaterThan(HOT_JOBS / 2);
    }

    @Test
    void aJobOfAnAccountThatWasRemovedFromTheConfigurationIsServed() {
        configureAccounts();
        Shard shard = submitAll();
        mHarness.mAccounts = ClientAccounts.of(List.of(account("hot", 2)), Set.of());
        mHarness.run(10_000, shard);
        assertThat(shard.state(ShardHarness.id(100)).result().state())
                .isEqualTo(JobState.COMPLETED);
    }
}
