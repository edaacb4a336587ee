package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.endivetray.policy.job.NearPlacePolicy.Facts;

/**
 * Jobs whose tasks take longer outside the rack of their data, on a pool of racks, under a rule
 * that says which tasks wait for a place in that rack.
 *
 * <p>This class is not thread-safe.
 */
final class NearPlaceLoad {
    private static final int RACKS = 3;
    private static final long LENGTH_MILLIS = 8_000;
    private static final long TICK_MILLIS = 10;
    private static final long NEAR_MILLIS = 700;
    private static final double STRETCH = 1.6;
    private static final long TARGET_MILLIS = 600;
    private static final int MAX_TASKS = 8;
    private static final String KIND = "kind";

    /** Share of the tasks with a long duration, and by how much they are longer. */
    private static final double TAIL_SHARE = 0.03;

    private static final double TAIL_FACTOR = 5;

    /** Says whether a task waits. */
    interface Rule {
        boolean waits(Facts facts);
    }

    /**
     * A pattern of load.
     *
     * @param placesPerRack tasks that run in a rack at the same time
     * @param load work that arrives, near its data, as a share of all places
     * @param hotShare share of the jobs whose data is in the first rack
     * @param farFactor multiple of its duration that a task takes away
     */
    record Pattern(int placesPerRack, double load, double hotShare, double farFactor) {}

    /** How the jobs fared. */
    record Result(double meanMillis, int late, int jobs) {}

    private static final class Job {
        private final long mArrivalMillis;
        private final int mRack;

        /** Durations of its tasks near their data, in milliseconds. */
        private final double[] mMillis;

        private int mWaiting;
        private int mOpen;
        private long mWaitSinceMillis = -1;
        private long mEndMillis;

        private Job(long arrivalMillis, int rack, double[] millis) {
            mArrivalMillis = arrivalMillis;
            mRack = rack;
            mMillis = millis;
            mWaiting = millis.length;
            mOpen = millis.length;
        }

        private long slackMillis(long nowMillis) {
            long objective = Math.round(STRETCH * NEAR_MILLIS) + TARGET_MILLIS;
            return objective - (nowMillis - mArrivalMillis) - NEAR_MILLIS;
        }
    }

    private record Run(Job job, int rack, long startMillis, long endMillis, boolean isAway) {}

    private final Pattern mPattern;
    private final Rule mRule;
    private final Random mRandom;
    private final DurationModel mDurations;
    private final List<Run> mRuns = new ArrayList<>();
    private final int[] mRunsPerRack = new int[RACKS];
    private final Map<Integer, List<TimeEstimate>> mPlaces = new HashMap<>();

    NearPlaceLoad(Pattern pattern, Rule rule, int seed) {
        mPattern = pattern;
        mRule = rule;
        mRandom = new Random(seed);
        mDurations = new DurationModel(FarFactor.configured(pattern.farFactor()));
    }

    /** Runs the jobs of a seed to their end. */
    Result run() {
        List<Job> jobs = arrivals();
        int open = jobs.size();
        for (long now = 0; open > 0; now += TICK_MILLIS) {
            open -= endRuns(now);
            start(jobs, now);
        }
        long total = jobs.stream().mapToLong(job -> job.mEndMillis - job.mArrivalMillis).sum();
        int late =
                (int)
                        jobs.stream()
                                .filter(job -> job.slackMillis(job.mEndMillis - NEAR_MILLIS) < 0)
                                .count();
        return new Result(total / (double) jobs.size(), late, jobs.size());
    }

    private List<Job> arrivals() {
        List<Job> jobs = new ArrayList<>();
        double perMilli = mPattern.load() * RACKS * mPattern.placesPerRack();
        double work = 0;
        while (work / perMilli < LENGTH_MILLIS) {
            int rack = mRandom.nextDouble() < mPattern.hotShare() ? 0 : mRandom.nextInt(RACKS);
            int tasks = 1 + mRandom.nextInt(MAX_TASKS);
            jobs.add(new Job(Math.round(work / perMilli), rack, durations(tasks)));
            work += -Math.log(1 - mRandom.nextDouble()) * (MAX_TASKS + 1) / 2 * NEAR_MILLIS;
        }
        return jobs;
    }

    private double[] durations(int tasks) {
        double[] millis = new double[tasks];
        for (int i = 0; i < tasks; i++) {
            double tail = mRandom.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1;
            millis[i] = NEAR_MILLIS * tail * (0.6 + 0.7 * mRandom.nextDouble());
        }
        return millis;
    }

    private int endRuns(long now) {
        int ended = 0;
        for (int i = mRuns.size() - 1; i >= 0; i--) {
            Run run = mRuns.get(i);
            if (run.endMillis() <= now) {
                mRuns.remove(i);
                mRunsPerRack[run.rack()]--;
                mDurations.onDone(KIND, run.endMillis() - run.startMillis(), run.isAway());
                if (--run.job().mOpen == 0) {
                    run.job().mEndMillis = now;
                    ended++;
                }
            }
        }
        return ended;
    }

    private int free(int rack) {
        return mPattern.placesPerRack() - mRunsPerRack[rack];
    }

    private void start(List<Job> jobs, long now) {
        int[] ahead = new int[RACKS];
        mPlaces.clear();
        for (Job job : jobs) {
            if (job.mArrivalMillis > now) {
                return;
            }
            if (job.mWaiting == 0) {
                continue;
            }
            while (job.mWaiting > 0 && free(job.mRack) > 0) {
                start(job, job.mRack, now);
            }
            int waiting = waiting(job, ahead[job.mRack], now);
            int rack = roomiestRack();
            while (job.mWaiting > waiting && free(rack) > 0) {
                start(job, rack, now);
                rack = roomiestRack();
            }
            ahead[job.mRack] += job.mWaiting;
        }
    }

    private int roomiestRack() {
        int best = 0;
        for (int rack = 1; rack < RACKS; rack++) {
            best = free(rack) > free(best) ? rack : best;
        }
        return best;
    }

    /** Returns how many tasks of a job wait for places in the rack of its data. */
    private int waiting(Job job, int ahead, long now) {
        if (free(roomiestRack()) <= 0) {
            return job.mWaiting;
        }
        List<TimeEstimate> places = mPlaces.computeIfAbsent(job.mRack, rack -> places(rack, now));
        int waiting = 0;
        while (waiting < job.mWaiting) {
            int index = ahead + waiting;
            TimeEstimate place = index < places.size() ? places.get(index) : null;
            long waited = job.mWaitSinceMillis < 0 ? 0 : now - job.mWaitSinceMillis;
            double load = mRuns.size() / (double) (RACKS * mPattern.placesPerRack());
            Facts facts =
                    new Facts(
                            mDurations.expectedNearMillis(KIND, NEAR_MILLIS),
                            mPattern.farFactor(),
                            place,
                            job.slackMillis(now),
                            waited,
                            load,
                            job.mOpen > job.mWaiting);
            if (!mRule.waits(facts)) {
                break;
            }
            waiting++;
        }
        if (waiting > 0 && job.mWaitSinceMillis < 0) {
            job.mWaitSinceMillis = now;
        }
        return waiting;
    }

    private List<TimeEstimate> places(int rack, long now) {
        return mRuns.stream()
                .filter(run -> run.rack() == rack)
                .map(run -> remaining(run, now))
                .sorted(Comparator.comparingLong(TimeEstimate::expectedMillis))
                .toList();
    }

    private TimeEstimate remaining(Run run, long now) {
        double factor = run.isAway() ? mPattern.farFactor() : 1;
        long age = Math.round((now - run.startMillis()) / factor);
        return mDurations.remaining(KIND, NEAR_MILLIS, age).times(factor);
    }

    private void start(Job job, int rack, long now) {
        double millis = job.mMillis[--job.mWaiting];
        boolean isAway = rack != job.mRack;
        long length = Math.round(isAway ? millis * mPattern.farFactor() : millis);
        mRunsPerRack[rack]++;
        mRuns.add(new Run(job, rack, now, now + length, isAway));
    }
}
