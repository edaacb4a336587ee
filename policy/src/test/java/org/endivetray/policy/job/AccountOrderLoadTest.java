package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.endivetray.policy.job.AccountLoad.Account;
import org.endivetray.policy.job.AccountLoad.Result;
import org.junit.jupiter.api.Test;

/**
 * Tests the order among client accounts under loads above the pool's capacity, against the rank of
 * steps alone and weighted fair queueing.
 *
 * <p>Callers are served by a job that meets its objective; an order is judged by the share of owed
 * jobs that do, over all jobs and over the worst tenth of the accounts.
 *
 * <p>This class is not thread-safe.
 */
class AccountOrderLoadTest {
    private static final int SEEDS = 30;
    private static final int ACCOUNTS = 20;

    private static Result mean(
            LongFunction<AccountLoad> loads, Supplier<AccountLoad.Scheduler> scheduler) {
        List<Result> results = new ArrayList<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            results.add(loads.apply(seed).run(scheduler.get()));
        }
        return Result.mean(results);
    }

    private static void assertServesAccountsBetter(String name, LongFunction<AccountLoad> loads) {
        Result policy = mean(loads, AccountSchedulers::policy);
        Result byRank = mean(loads, AccountSchedulers::byRank);
        Result fair = mean(loads, AccountSchedulers::weightedFairQueueing);
        String figures =
                String.format(
                        "%s%n  accounts: %s%n  rank:     %s%n  fair:     %s",
                        name, policy, byRank, fair);
        System.out.println(figures);
        assertTrue(policy.worstTenth() > byRank.worstTenth(), figures);
        assertTrue(policy.worstTenth() > fair.worstTenth(), figures);
        assertTrue(policy.all() > byRank.all(), figures);
        assertTrue(policy.all() > fair.all(), figures);
    }

    @Test
    void anAccountThatSendsManyTimesItsUsualTakesOnlyWhatOthersLeave() {
        assertServesAccountsBetter(
                "one account at 7.5 times its usual",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 0.9, List.of(4), 7.5));
    }

    @Test
    void aLargeAccountThatSendsManyTimesItsUsualTakesOnlyWhatOthersLeave() {
        assertServesAccountsBetter(
                "a large account at 7.5 times its usual",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 0.9, List.of(1), 7.5));
    }

    @Test
    void twoAccountsThatBurstAtOnceDoNotMakeTheOthersLate() {
        assertServesAccountsBetter(
                "two accounts at four times their usual at once",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 0.9, List.of(1, 2), 4));
    }

    @Test
    void anAccountWithOneHugeJobIsServedBesideTheSmallJobsOfAllOthers() {
        assertServesAccountsBetter(
                "one account with one job of 400 tasks",
                seed -> {
                    AccountLoad load = AccountLoad.turns(seed, ACCOUNTS, 1.1, List.of(), 1);
                    return load.add(load.accounts().get(3), 1_000, 400);
                });
    }

    @Test
    void manySmallAccountsAreServedBesideALargeOneBeyondItsRate() {
        assertServesAccountsBetter(
                "40 small accounts beside a large one at twice its rate",
                seed -> {
                    AccountLoad load = new AccountLoad(seed);
                    for (int i = 0; i < 40; i++) {
                        load.send(new Account("small" + i, 1), 0.2, 0, 12_000, 16);
                    }
                    return load.send(new Account("large", 4), 8, 0, 12_000, 16);
                });
    }
}
