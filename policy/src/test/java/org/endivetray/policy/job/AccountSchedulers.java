package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivetray.policy.job.AccountLoad.Job;

/** The order of the product and its rivals. */
final class AccountSchedulers {
    private static final int CORE = 1_000;

    private AccountSchedulers() {}

    /** The order of the product. */
    static AccountLoad.Scheduler policy() {
        AccountOrder<Job> order = new AccountOrder<>();
        Entitlements entitlements = new Entitlements();
        return (waiting, load, nowMillis) -> {
            AccountUse use = new AccountUse((long) AccountLoad.CORES * CORE);
            waiting.forEach(job -> use.activate(job.mAccount.name(), job.mAccount.weight()));
            long starved = 0;
            for (Map.Entry<Job, Integer> running : load.runningTasks().entrySet()) {
                Job job = running.getKey();
                use.activate(job.mAccount.name(), job.mAccount.weight());
                use.add(job.mAccount.name(), (long) running.getValue() * CORE);
                if (nowMillis - job.mArrivalMillis >= AccountOrder.STARVED_MILLIS) {
                    starved += (long) running.getValue() * CORE;
                }
            }
            List<AccountOrder.Waiting<Job>> steps = new ArrayList<>();
            for (Job job : waiting) {
                if (!job.mIsSeen && job.mIsWithinRate) {
                    entitlements.add(job.mAccount.name());
                }
                job.mIsSeen = true;
                steps.add(
                        new AccountOrder.Waiting<>(
                                job,
                                job,
                                job.mAccount.name(),
                                0,
                                0,
                                job.mIsEntitled,
                                job.rank(nowMillis),
                                nowMillis - job.mArrivalMillis,
                                CORE));
            }
            order.dispatch(steps, use, entitlements, starved, starter(load));
        };
    }

    private static AccountOrder.Starter<Job> starter(AccountLoad load) {
        return new AccountOrder.Starter<>() {
            @Override
            public int start(Job job, int maxTasks) {
                return load.start(job, maxTasks);
            }

            @Override
            public void onEntitled(Job job) {
                job.mIsEntitled = true;
            }
        };
    }

    /** The rival: the rank of the steps without regard to accounts. */
    static AccountLoad.Scheduler byRank() {
        return (waiting, load, nowMillis) ->
                waiting.stream()
                        .sorted(Comparator.comparing(job -> job.rank(nowMillis)))
                        .forEach(job -> load.start(job, Integer.MAX_VALUE));
    }

    /**
     * The rival: weighted fair queueing. Each job gets a finish tag from its work and its account's
     * weight on arrival, and the lowest tag goes first.
     */
    static AccountLoad.Scheduler weightedFairQueueing() {
        Map<Job, Double> tags = new HashMap<>();
        Map<String, Double> lastTags = new HashMap<>();
        double[] virtualTime = new double[1];
        return (waiting, load, nowMillis) -> {
            for (Job job : waiting) {
                if (!tags.containsKey(job)) {
                    String account = job.mAccount.name();
                    double start = Math.max(virtualTime[0], lastTags.getOrDefault(account, 0.0));
                    double finish = start + job.workCoreSeconds() / job.mAccount.weight();
                    lastTags.put(account, finish);
                    tags.put(job, finish);
                }
            }
            waiting.stream()
                    .sorted(Comparator.comparing(tags::get))
                    .forEach(
                            job -> {
                                if (load.start(job, Integer.MAX_VALUE) > 0) {
                                    double start =
                                            tags.get(job)
                                                    - job.workCoreSeconds() / job.mAccount.weight();
                                    virtualTime[0] = Math.max(virtualTime[0], start);
                                }
                            });
        };
    }
}
