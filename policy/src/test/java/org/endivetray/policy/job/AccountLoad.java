package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * The load of several client accounts on one pool, on a virtual clock.
 *
 * <p>Each job has one step. Durations differ from what is expected. A job is owed to its account if
 * it is among the first {@code weight} that the account sends in its second.
 *
 * <p>This class is not thread-safe.
 */
final class AccountLoad {
    static final int CORES = 64;
    static final long EXPECTED_MILLIS = 640;
    static final long OBJECTIVE_MILLIS = 1_600;

    private static final double TAIL_SHARE = 0.1;
    private static final int MAX_RETRIES = 4;
    private static final int MAX_TASKS = 16;
    private static final double MEAN_TASKS = (1 + MAX_TASKS) / 2.0;
    private static final long TURN_MILLIS = 4_000;
    private static final double BETWEEN = 0.05;
    private static final double SKEW = 1.2;
    private static final double USUAL_TO_RATE = 1.9;

    /** A client account with the submissions a second that it is entitled to. */
    record Account(String name, double weight) {}

    /** A job of one step with one core per task. */
    static final class Job {
        final Account mAccount;
        final long mArrivalMillis;
        final int mTasks;
        boolean mIsOwed;
        boolean mIsWithinRate;
        boolean mIsEntitled;
        boolean mIsSeen;
        int mRefusals;
        int mWaiting;
        private int mOpen;
        private long mEndMillis = Long.MAX_VALUE;

        Job(Account account, long arrivalMillis, int tasks) {
            mAccount = account;
            mArrivalMillis = arrivalMillis;
            mTasks = tasks;
            mWaiting = tasks;
            mOpen = tasks;
        }

        /** Returns a name that the job has in each run of the load. */
        String name() {
            return mAccount.name() + "/" + mArrivalMillis + "/" + mTasks;
        }

        double workCoreSeconds() {
            return mTasks * EXPECTED_MILLIS / 1e3;
        }

        StepRank rank(long nowMillis) {
            long age = nowMillis - mArrivalMillis;
            return StepRank.of(
                    OBJECTIVE_MILLIS - age - EXPECTED_MILLIS,
                    EXPECTED_MILLIS,
                    age,
                    workCoreSeconds());
        }

        boolean isInTime() {
            return mEndMillis - mArrivalMillis <= OBJECTIVE_MILLIS;
        }
    }

    /** A task that ends at a time. */
    private record Running(long endMillis, Job job) {}

    /** Dispatches the waiting jobs of a pool. */
    interface Scheduler {
        void dispatch(List<Job> waiting, AccountLoad load, long nowMillis);
    }

    /** The share of owed jobs in time: of all, and of the worst tenth of the accounts. */
    record Result(double all, double worstTenth, double worstAccount) {
        static Result mean(List<Result> results) {
            return new Result(
                    results.stream().mapToDouble(Result::all).average().orElseThrow(),
                    results.stream().mapToDouble(Result::worstTenth).average().orElseThrow(),
                    results.stream().mapToDouble(Result::worstAccount).average().orElseThrow());
        }

        @Override
        public String toString() {
            return String.format(
                    "all %.3f, worst tenth %.3f, worst account %.3f",
                    all, worstTenth, worstAccount);
        }
    }

    private final List<Job> mJobs = new ArrayList<>();
    private final Map<String, Account> mAccounts = new TreeMap<>();
    private final Random mRandom;
    private final PriorityQueue<Running> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
    private long mNowMillis;

    AccountLoad(long seed) {
        mRandom = new Random(seed);
    }

    /** Adds jobs that an account sends at a rate, with a number of tasks up to a maximum. */
    AccountLoad send(
            Account account, double perSecond, long fromMillis, long toMillis, int maxTasks) {
        double at = fromMillis;
        while (true) {
            at += -Math.log(1 - mRandom.nextDouble()) * 1e3 / perSecond;
            if (at >= toMillis) {
                return this;
            }
            add(account, Math.round(at), 1 + mRandom.nextInt(maxTasks));
        }
    }

    /** Adds one job. */
    AccountLoad add(Account account, long arrivalMillis, int tasks) {
        mAccounts.put(account.name(), account);
        mJobs.add(new Job(account, arrivalMillis, tasks));
        return this;
    }

    /**
     * Returns the load of a queue whose demand comes by turns of 4 s, with accounts of very
     * different size whose rate is 1.9 times their usual, at least one a second.
     *
     * @param seed seed of the arrivals
     * @param number number of accounts
     * @param load usual demand of a turn, as a part of the capacity
     * @param hot numbers of the accounts that send more than usual, 0 for the largest
     * @param factor what these send, as a multiple of their usual
     */
    static AccountLoad turns(long seed, int number, double load, List<Integer> hot, double factor) {
        double capacityPerSecond = CORES / (MEAN_TASKS * EXPECTED_MILLIS / 1e3);
        double[] parts = new double[number];
        double total = 0;
        for (int i = 0; i < number; i++) {
            parts[i] = Math.pow(i + 1, -SKEW);
            total += parts[i];
        }
        AccountLoad turns = new AccountLoad(seed);
        for (int i = 0; i < number; i++) {
            double usual = load * capacityPerSecond * parts[i] / total;
            Account account =
                    new Account(String.format("a%02d", i), Math.max(1, USUAL_TO_RATE * usual));
            double perSecond = hot.contains(i) ? factor * usual : usual;
            for (long from = 0; from < 4 * TURN_MILLIS; from += 2 * TURN_MILLIS) {
                long end = from + TURN_MILLIS;
                turns.send(account, perSecond, from, end, MAX_TASKS);
                turns.send(account, BETWEEN * perSecond, end, end + TURN_MILLIS, MAX_TASKS);
            }
        }
        return turns;
    }

    List<Account> accounts() {
        return List.copyOf(mAccounts.values());
    }

    List<Job> jobs() {
        return mJobs;
    }

    int freeCores() {
        return CORES - mRunning.size();
    }

    /** Returns the number of running tasks of each job. */
    Map<Job, Integer> runningTasks() {
        Map<Job, Integer> tasks = new HashMap<>();
        mRunning.forEach(running -> tasks.merge(running.job(), 1, Integer::sum));
        return tasks;
    }

    /** Starts at most so many tasks of a job as have room and returns their number. */
    int start(Job job, int maxTasks) {
        int tasks = Math.min(Math.min(maxTasks, job.mWaiting), freeCores());
        for (int i = 0; i < tasks; i++) {
            long millis = Math.round(EXPECTED_MILLIS * (0.6 + 0.8 * mRandom.nextDouble()));
            mRunning.add(new Running(mNowMillis + millis, job));
        }
        job.mWaiting -= tasks;
        return tasks;
    }

    /** Decides whether a job is accepted. */
    interface Admission {
        /** Returns 0 to accept a job, or the time after which it may return, in milliseconds. */
        long refuse(Job job, List<Job> waiting, AccountLoad load, long nowMillis);
    }

    /** A job that arrives, for the first time or again. */
    private record Arrival(long millis, Job job) {}

    /** Accepts all jobs and runs them to their end. */
    Result run(Scheduler scheduler) {
        return run(scheduler, (job, waiting, load, nowMillis) -> 0);
    }

    /** Runs all accepted jobs to their end; the clients of refused ones obey and return. */
    Result run(Scheduler scheduler, Admission admission) {
        mJobs.sort(Comparator.comparingLong(job -> job.mArrivalMillis));
        markOwed();
        Entitlements rate = new Entitlements();
        List<Job> waiting = new ArrayList<>();
        PriorityQueue<Arrival> arrivals =
                new PriorityQueue<>(Comparator.comparingLong(Arrival::millis));
        mJobs.forEach(job -> arrivals.add(new Arrival(job.mArrivalMillis, job)));
        int open = mJobs.size();
        while (open > 0) {
            boolean isChanged = false;
            while (!mRunning.isEmpty() && mRunning.peek().endMillis() <= mNowMillis) {
                Job job = mRunning.poll().job();
                isChanged = true;
                if (--job.mOpen == 0) {
                    job.mEndMillis = mNowMillis;
                    open--;
                }
            }
            while (!arrivals.isEmpty() && arrivals.peek().millis() <= mNowMillis) {
                Job job = arrivals.poll().job();
                if (job.mRefusals == 0) {
                    job.mIsWithinRate =
                            rate.admit(job.mAccount.name(), job.mAccount.weight(), mNowMillis);
                }
                long retryMillis = admission.refuse(job, waiting, this, mNowMillis);
                if (retryMillis == 0) {
                    waiting.add(job);
                    isChanged = true;
                } else if (++job.mRefusals <= MAX_RETRIES) {
                    arrivals.add(new Arrival(mNowMillis + retryMillis, job));
                } else {
                    open--;
                }
            }
            if (isChanged && freeCores() > 0) {
                scheduler.dispatch(waiting, this, mNowMillis);
                waiting.removeIf(job -> job.mWaiting == 0);
            }
            mNowMillis++;
        }
        return result();
    }

    private void markOwed() {
        Map<String, Integer> sent = new HashMap<>();
        for (Job job : mJobs) {
            String second = job.mAccount.name() + "/" + job.mArrivalMillis / 1_000;
            job.mIsOwed = sent.merge(second, 1, Integer::sum) <= Math.max(1, job.mAccount.weight());
        }
    }

    private Result result() {
        List<Double> shares = new ArrayList<>();
        for (Account account : mAccounts.values()) {
            List<Job> owed =
                    mJobs.stream().filter(job -> job.mIsOwed && job.mAccount == account).toList();
            shares.add(inTime(owed));
        }
        shares.sort(Comparator.naturalOrder());
        int tail = Math.max(1, (int) Math.round(TAIL_SHARE * shares.size()));
        return new Result(
                inTime(mJobs.stream().filter(job -> job.mIsOwed).toList()),
                shares.subList(0, tail).stream()
                        .mapToDouble(Double::doubleValue)
                        .average()
                        .orElseThrow(),
                shares.get(0));
    }

    private static double inTime(List<Job> jobs) {
        return jobs.stream().filter(Job::isInTime).count() / (double) jobs.size();
    }
}
