package org.endivetray.proof.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Judges from what the minions and the clients see whether the rules hold: TWICE, LIMIT, UNASKED,
 * ORDER and QUOTA.
 *
 * <p>Invariants: a breach that is reported breaks the rule as the platform states it; an end counts
 * as taken note of only if the minion's lease has not expired between the end and its
 * acknowledgement.
 *
 * <p>This class is thread-safe.
 */
final class SoakRules {
    /**
     * Time after an answered cancellation in which tasks may still be started. It covers the pause
     * of a daemon, or a partition, after which one that was not in touch learns of it.
     */
    private static final long CANCEL_MILLIS = 17_000;

    /** Least time by which a start may precede its due time without a breach, in milliseconds. */
    private static final long EARLY_MILLIS = 1_000;

    private final SoakRecord mRecord;
    private final SoakStore mStore;
    private final SoakAccounts mAccounts;
    private final Map<String, SoakJob> mJobs = new ConcurrentHashMap<>();

    /** Times at which cancellations were answered, in milliseconds since 1970, by job. */
    private final Map<String, Long> mCancelled = new ConcurrentHashMap<>();

    private final List<String> mBreaches = new CopyOnWriteArrayList<>();

    /** The minions on which a task runs now. */
    private final Map<String, Set<SoakMinion>> mRunning = new HashMap<>();

    /** The ends of a task as done, each with its minion and run. */
    private final Map<String, Set<String>> mDone = new HashMap<>();

    private final Map<String, String> mLastStart = new HashMap<>();
    private final Set<String> mNoted = new HashSet<>();
    private final Set<String> mStartedAfter = new HashSet<>();
    private final Map<String, Set<String>> mCheckpoints = new HashMap<>();
    private int mStarts;

    SoakRules(SoakRecord record, SoakStore store, SoakAccounts accounts) {
        mRecord = record;
        mStore = store;
        mAccounts = accounts;
    }

    /** Called when the cancellation of a job was answered as carried out or not needed. */
    void onCancelled(String job) {
        mCancelled.putIfAbsent(job, System.currentTimeMillis());
    }

    /** Checks that no task of a job runs whose cancellation was answered long before. */
    synchronized void checkCancelled() {
        long before = System.currentTimeMillis() - CANCEL_MILLIS;
        mRunning.forEach(
                (task, minions) -> {
                    if (!minions.isEmpty() && isCancelledBefore(task, before)) {
                        breach("UNASKED", task + " still runs on " + minions);
                    }
                });
    }

    private boolean isCancelledBefore(String task, long millis) {
        return mCancelled.getOrDefault(job(task).id(), Long.MAX_VALUE) < millis;
    }

    /** Returns whether no task runs on the minions of a pool. */
    synchronized boolean isIdle(String pool) {
        return mRunning.values().stream()
                .flatMap(Set::stream)
                .noneMatch(minion -> minion.place().pool().equals(pool));
    }

    void addJob(SoakJob job) {
        mJobs.put(job.id(), job);
    }

    /** Returns the breaches so far. */
    List<String> breaches() {
        return List.copyOf(mBreaches);
    }

    synchronized int starts() {
        return mStarts;
    }

    void breach(String rule, String what) {
        mBreaches.add(rule + ": " + what);
        mRecord.add("BROKEN " + rule + ": " + what);
    }

    /** Returns the step of a task, null if no client has submitted it. */
    SoakJob.Step step(String task) {
        String[] parts = task.split("\\.");
        SoakJob job = mJobs.get(parts[0]);
        if (job == null || Integer.parseInt(parts[1]) >= job.occurrences()) {
            return null;
        }
        int number = Integer.parseInt(parts[2]);
        SoakJob.Step step = number < job.steps().size() ? job.steps().get(number) : null;
        return step != null && Integer.parseInt(parts[3]) < step.count() ? step : null;
    }

    SoakJob job(String task) {
        return mJobs.get(task.substring(0, task.indexOf('.')));
    }

    /** Called before a minion starts a run on an order. */
    synchronized void onStart(SoakMinion minion, SoakRun run, String spec, long token) {
        mStarts++;
        String task = run.mTask;
        String start = minion + " token " + token + " of " + mStore.ownerOf(token);
        mRecord.add("start " + task + " run " + run.mNumber + " on " + start);
        if (!job(task).spec().equals(spec)) {
            breach("UNASKED", task + " is started with another spec");
        }
        boolean isKnown = mCheckpoints.getOrDefault(task, Set.of()).contains(run.mCheckpoint);
        if (!run.mCheckpoint.isEmpty() && !run.mStep.isGang() && !isKnown) {
            breach("UNASKED", task + " is started with checkpoint " + run.mCheckpoint);
        }
        if (minion.usedCpu() + run.mStep.cpu() > minion.cpu()) {
            breach("LIMIT", minion + " runs " + minion.usedCpu() + " and starts " + task);
        }
        checkOrder(task);
        if (isCancelledBefore(task, System.currentTimeMillis() - CANCEL_MILLIS)) {
            breach("UNASKED", task + " is started long after its cancellation");
        }
        Set<SoakMinion> others = mRunning.computeIfAbsent(task, ignored -> new HashSet<>());
        if (!others.isEmpty()) {
            breach(
                    "TWICE",
                    task
                            + " runs on "
                            + others
                            + " since "
                            + mLastStart.get(task)
                            + " and starts"
                            + " on "
                            + start);
        }
        others.add(minion);
        String account = mAccounts.accountOf(job(task).id());
        mAccounts.judgeStart(this, account, runningCpu(account), run.mStep.cpu());
        mLastStart.put(task, start);
        if (!run.mStep.isLongRunning()) {
            for (String end : mDone.getOrDefault(task, Set.of())) {
                mStartedAfter.add(end);
                if (mNoted.contains(end)) {
                    breach("TWICE", "a start after the noted end as done of " + end);
                }
            }
        }
    }

    private int runningCpu(String account) {
        int cpu = 0;
        for (Map.Entry<String, Set<SoakMinion>> running : mRunning.entrySet()) {
            boolean isOfAccount = mAccounts.accountOf(job(running.getKey()).id()).equals(account);
            cpu += isOfAccount ? running.getValue().size() * step(running.getKey()).cpu() : 0;
        }
        return cpu;
    }

    private void checkOrder(String task) {
        String[] parts = task.split("\\.");
        SoakJob job = job(task);
        for (int earlier : job.steps().get(Integer.parseInt(parts[2])).after()) {
            SoakJob.Step step = job.steps().get(earlier);
            int done = 0;
            for (int i = 0; i < step.count(); i++) {
                String name = parts[0] + "." + parts[1] + "." + earlier + "." + i;
                done += mDone.containsKey(name) ? 1 : 0;
            }
            if (done < (step.isGang() ? 1 : step.count())) {
                breach("ORDER", task + " starts before step " + earlier + " is done");
            }
        }
        long due = job.firstMillis() + (long) Integer.parseInt(parts[1]) * SoakJob.INTERVAL_MILLIS;
        if (job.repetitions() > 0 && System.currentTimeMillis() < due - EARLY_MILLIS) {
            breach("ORDER", task + " starts before it is due");
        }
    }

    synchronized void onCheckpoint(String task, String checkpoint) {
        mCheckpoints.computeIfAbsent(task, ignored -> new HashSet<>()).add(checkpoint);
    }

    /** Called after the end of a run on a minion that is up. */
    synchronized void onEnd(SoakMinion minion, SoakRun run, String how) {
        mRecord.add("end " + run.mTask + " run " + run.mNumber + " on " + minion + " " + how);
        onGone(minion, run.mTask);
        if (how.equals("done")) {
            String end = endName(minion, run.mTask, run.mNumber);
            mDone.computeIfAbsent(run.mTask, ignored -> new HashSet<>()).add(end);
        }
    }

    /** Called when a run has ended together with its minion. */
    synchronized void onGone(SoakMinion minion, String task) {
        mRunning.getOrDefault(task, new HashSet<>()).remove(minion);
    }

    /** Called when the end of a run is taken note of. */
    synchronized void onNoted(SoakMinion minion, SoakRun.End end) {
        if (end.mHow.equals("done") && !end.mHasLapsed) {
            String name = endName(minion, end.mTask, end.mRun);
            mNoted.add(name);
            if (mStartedAfter.contains(name)) {
                breach("TWICE", "an earlier start after the end as done, now noted, of " + name);
            }
        }
    }

    private static String endName(SoakMinion minion, String task, int run) {
        return task + " run " + run + " on " + minion;
    }
}
