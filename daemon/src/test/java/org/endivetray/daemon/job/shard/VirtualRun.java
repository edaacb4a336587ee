package org.endivetray.daemon.job.shard;

import org.endivetray.platform.MinionOrders.RunningTask;

/**
 * A run on a minion.
 *
 * <p>This class is not thread-safe.
 */
final class VirtualRun {
    final String mTask;
    final int mRun;
    final long mStartMillis;
    final String mCheckpoint;
    boolean mIsStopping;

    VirtualRun(String task, int run, long startMillis, String checkpoint) {
        mTask = task;
        mRun = run;
        mStartMillis = startMillis;
        mCheckpoint = checkpoint;
    }

    RunningTask listed(long nowMillis, long startupMillis) {
        long age = nowMillis - mStartMillis;
        int percent = age >= startupMillis ? 100 : (int) (age * 100 / startupMillis);
        return new RunningTask(mTask, mRun, mCheckpoint, percent, 0);
    }
}
