package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import org.endivetray.policy.job.AccountLoad.Job;
import org.junit.jupiter.api.Test;

/**
 * Tests whether it serves callers better to refuse submissions that by {@link CompletionEstimate}
 * cannot meet their objective than to accept them, with {@link AccountOrder} in force.
 *
 * <p>The rival refuses submissions beyond their account's rate, with a return time at which the
 * work before them is expected to be done and that is later for each refusal; those that return are
 * accepted. A false refusal is one of a job that is done in time if all are accepted; a false
 * acceptance is one of a job that is late.
 *
 * <p>This class is not thread-safe.
 */
class AdmissionLoadTest {
    private static final int SEEDS = 20;
    private static final int ACCOUNTS = 20;
    private static final long MIN_RETURN_MILLIS = 200;

    /** The rival, for one run. */
    private static final class Refusal implements AccountLoad.Admission {
        private final Set<Job> mRefused = new HashSet<>();
        private double mBookedMillis;

        @Override
        public long refuse(Job job, List<Job> waiting, AccountLoad load, long nowMillis) {
            if (job.mIsWithinRate || job.mRefusals > 0) {
                return 0;
            }
            CompletionEstimate estimate = estimate(job, waiting, load, nowMillis);
            if (!estimate.exceeds(AccountLoad.OBJECTIVE_MILLIS)) {
                return 0;
            }
            mRefused.add(job);
            double at = Math.max(nowMillis + estimate.waitMillis(), mBookedMillis);
            mBookedMillis = at + 1e3 * job.workCoreSeconds() / AccountLoad.CORES;
            return Math.max(MIN_RETURN_MILLIS, Math.round(at - nowMillis));
        }

        private static CompletionEstimate estimate(
                Job job, List<Job> waiting, AccountLoad load, long nowMillis) {
            int running = AccountLoad.CORES - load.freeCores();
            double aheadCoreSeconds = 0;
            for (Job other : waiting) {
                boolean isBefore =
                        other.mIsWithinRate
                                || other.rank(nowMillis).compareTo(job.rank(nowMillis)) < 0;
                aheadCoreSeconds +=
                        isBefore ? other.mWaiting * AccountLoad.EXPECTED_MILLIS / 1e3 : 0;
            }
            return CompletionEstimate.of(
                    new CompletionEstimate.Pool(
                            AccountLoad.CORES,
                            load.freeCores(),
                            running * AccountLoad.EXPECTED_MILLIS / 2e3,
                            aheadCoreSeconds,
                            true),
                    AccountLoad.EXPECTED_MILLIS,
                    true);
        }
    }

    private static long inTime(AccountLoad load) {
        return load.jobs().stream().filter(Job::isInTime).count();
    }

    private static void assertAcceptingServesNoFewer(String name, LongFunction<AccountLoad> loads) {
        long accepting = 0;
        long refusing = 0;
        int refused = 0;
        int falselyRefused = 0;
        int falselyAccepted = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            AccountLoad all = loads.apply(seed);
            all.run(AccountSchedulers.policy());
            accepting += inTime(all);
            AccountLoad some = loads.apply(seed);
            Refusal refusal = new Refusal();
            some.run(AccountSchedulers.policy(), refusal);
            refusing += inTime(some);
            Map<String, Job> byName = new HashMap<>();
            all.jobs().forEach(job -> byName.put(job.name(), job));
            for (Job job : some.jobs()) {
                boolean isRefused = refusal.mRefused.contains(job);
                boolean isInTimeIfAccepted = byName.get(job.name()).isInTime();
                refused += isRefused ? 1 : 0;
                falselyRefused += isRefused && isInTimeIfAccepted ? 1 : 0;
                falselyAccepted += !isRefused && !job.isInTime() ? 1 : 0;
            }
        }
        String figures =
                String.format(
                        "%s: in time %d if all are accepted, %d if not; refused %d, falsely %d;"
                                + " falsely accepted %d",
                        name, accepting, refusing, refused, falselyRefused, falselyAccepted);
        System.out.println(figures);
        assertTrue(accepting >= refusing, figures);
    }

    @Test
    void refusingServesNoMoreJobsInTimeThanAcceptingBesideOneHotAccount() {
        assertAcceptingServesNoFewer(
                "a large account at 7.5 times its usual",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 0.9, List.of(1), 7.5));
    }

    @Test
    void refusingServesNoMoreJobsInTimeThanAcceptingWhenTwoAccountsBurst() {
        assertAcceptingServesNoFewer(
                "two accounts at four times their usual",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 0.9, List.of(1, 2), 4));
    }

    @Test
    void refusingServesNoMoreJobsInTimeThanAcceptingAtTwiceTheCapacity() {
        assertAcceptingServesNoFewer(
                "all accounts within their rate at twice the capacity",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 2, List.of(), 1));
    }

    @Test
    void refusingServesNoMoreJobsInTimeThanAcceptingWhenMostAccountsAreHot() {
        List<Integer> hot = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS / 2; i++) {
            hot.add(i);
        }
        assertAcceptingServesNoFewer(
                "half of the accounts at four times their usual",
                seed -> AccountLoad.turns(seed, ACCOUNTS, 1, hot, 4));
    }

    @Test
    void theEstimateIsTheWorkAheadOverTheCapacityAndUnsureWithoutLearntDurations() {
        CompletionEstimate.Pool full = new CompletionEstimate.Pool(10, 0, 5, 25, true);
        CompletionEstimate estimate = CompletionEstimate.of(full, 1_000, true);
        assertEquals(3_000, estimate.waitMillis());
        assertEquals(4_000, estimate.doneMillis());
        assertTrue(estimate.exceeds(2_500));
        assertFalse(estimate.exceeds(3_500));
        assertFalse(CompletionEstimate.of(full, 1_000, false).exceeds(0));
        CompletionEstimate.Pool unsteady = new CompletionEstimate.Pool(10, 0, 5, 25, false);
        assertFalse(CompletionEstimate.of(unsteady, 1_000, true).exceeds(0));
        CompletionEstimate.Pool free = new CompletionEstimate.Pool(10, 1, 5, 0, true);
        assertEquals(0, CompletionEstimate.of(free, 1_000, true).waitMillis());
    }
}
