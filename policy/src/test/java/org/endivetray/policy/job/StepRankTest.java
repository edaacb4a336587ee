package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests the dispatch order under a burst: for some seconds a queue asks for three times what its
 * pool can carry, and durations differ from what is expected.
 *
 * <p>This class is not thread-safe.
 */
class StepRankTest {
    private static final int CORES = 64;
    private static final int SEEDS = 10;
    private static final long BURST_MILLIS = 4_000;
    private static final long EXPECTED_MILLIS = 640;
    private static final long OBJECTIVE_MILLIS = 1_600;
    private static final int MAX_TASKS = 16;
    private static final double OVERLOAD = 3;

    /** A job of one step. */
    private static final class Job {
        private final long mArrivalMillis;
        private final int mTasks;
        private int mWaiting;
        private int mOpen;
        private long mEndMillis;

        private Job(long arrivalMillis, int tasks) {
            mArrivalMillis = arrivalMillis;
            mTasks = tasks;
            mWaiting = tasks;
            mOpen = tasks;
        }

        private long slackMillis(long nowMillis) {
            return OBJECTIVE_MILLIS - (nowMillis - mArrivalMillis) - EXPECTED_MILLIS;
        }

        private boolean isInTime() {
            return mEndMillis - mArrivalMillis <= OBJECTIVE_MILLIS;
        }
    }

    /** A task that ends at a time. */
    private record Running(long endMillis, Job job) {}

    /** Ranks a job at a time; the lowest rank is dispatched first. */
    private interface Order {
        StepRank rank(Job job, long nowMillis);
    }

    private static StepRank byPolicy(Job job, long nowMillis) {
        return StepRank.of(
                job.slackMillis(nowMillis),
                EXPECTED_MILLIS,
                nowMillis - job.mArrivalMillis,
                job.mTasks * EXPECTED_MILLIS / 1e3);
    }

    /** The rival: least slack first among the jobs that can be in time, then the oldest. */
    private static StepRank byLeastSlack(Job job, long nowMillis) {
        long slack = job.slackMillis(nowMillis);
        return slack >= 0
                ? new StepRank(1, slack)
                : new StepRank(2, job.mArrivalMillis - nowMillis);
    }

    private static List<Job> burst(Random random) {
        List<Job> jobs = new ArrayList<>();
        double workPerMilli = OVERLOAD * CORES;
        double work = 0;
        while (work / workPerMilli < BURST_MILLIS) {
            Job job = new Job(Math.round(work / workPerMilli), 1 + random.nextInt(MAX_TASKS));
            work += job.mTasks * EXPECTED_MILLIS;
            jobs.add(job);
        }
        return jobs;
    }

    /** Runs all jobs to their end and returns the number that end in time. */
    private static long inTime(List<Job> jobs, Order order, Random random) {
        PriorityQueue<Running> running =
                new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
        int open = jobs.size();
        for (long now = 0; open > 0; now++) {
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                Job job = running.poll().job();
                if (--job.mOpen == 0) {
                    job.mEndMillis = now;
                    open--;
                }
            }
            if (running.size() < CORES) {
                start(jobs, order, random, now, running);
            }
        }
        return jobs.stream().filter(Job::isInTime).count();
    }

    private static void start(
            List<Job> jobs, Order order, Random random, long now, PriorityQueue<Running> running) {
        List<Job> waiting =
                jobs.stream()
                        .filter(job -> job.mArrivalMillis <= now && job.mWaiting > 0)
                        .sorted(Comparator.comparing((Job job) -> order.rank(job, now)))
                        .toList();
        for (Job job : waiting) {
            while (job.mWaiting > 0 && running.size() < CORES) {
                job.mWaiting--;
                long millis = Math.round(EXPECTED_MILLIS * (0.6 + 0.8 * random.nextDouble()));
                running.add(new Running(now + millis, job));
            }
        }
    }

    private static long inTime(Order order, int seed) {
        Random random = new Random(seed);
        return inTime(burst(random), order, random);
    }

    @Test
    void aBurstOfThreeTimesTheCapacityCompletesMoreJobsInTimeThanWithLeastSlackFirst() {
        for (int seed = 0; seed < SEEDS; seed++) {
            long policy = inTime(StepRankTest::byPolicy, seed);
            long rival = inTime(StepRankTest::byLeastSlack, seed);
            assertTrue(policy > rival, "seed " + seed + ": " + policy + " against " + rival);
        }
    }

    @Test
    void theJobWithTheLeastWorkGoesFirstAmongThoseThatCanBeInTime() {
        StepRank small = StepRank.of(2_000, 1_000, 0, 2.0);
        StepRank urgent = StepRank.of(500, 1_000, 1_500, 8.0);
        assertTrue(small.compareTo(urgent) < 0);
    }

    @Test
    void jobsThatCannotBeInTimeFollowOldestFirst() {
        StepRank inTime = StepRank.of(2_000, 1_000, 0, 50.0);
        StepRank older = StepRank.of(-3_000, 1_000, 5_000, 9.0);
        StepRank newer = StepRank.of(100, 1_000, 2_000, 1.0);
        List<StepRank> ranks = new ArrayList<>(List.of(newer, older, inTime));
        ranks.sort(Comparator.naturalOrder());
        assertEquals(List.of(inTime, older, newer), ranks);
    }

    @Test
    void longRunningStepsGoFirstAndBestEffortStepsLast() {
        StepRank serving = StepRank.ofLongRunning(false, 1);
        StepRank bestEffort = StepRank.ofLongRunning(true, 0);
        StepRank late = StepRank.of(-1, 0, 10_000, 0);
        assertTrue(serving.compareTo(late) < 0);
        assertTrue(late.compareTo(bestEffort) < 0);
    }
}
