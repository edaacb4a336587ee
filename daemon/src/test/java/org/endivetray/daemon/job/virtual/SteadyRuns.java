package org.endivetray.daemon.job.virtual;

import org.endivetray.job.TaskEnd;

/**
 * Runs that all take as long and end alike, and save no checkpoints.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class SteadyRuns implements WorkPlan {
    private final Outcome mOutcome;

    private SteadyRuns(Outcome outcome) {
        mOutcome = outcome;
    }

    /** Returns runs that are done after a time, in milliseconds. */
    public static SteadyRuns doneAfter(long millis) {
        return new SteadyRuns(new Outcome(millis, TaskEnd.DONE));
    }

    /** Returns runs that go on until they are stopped. */
    public static SteadyRuns endless() {
        return new SteadyRuns(new Outcome(0, TaskEnd.FAILED));
    }

    @Override
    public Outcome of(String task, int run) {
        return mOutcome;
    }

    @Override
    public boolean savesCheckpoints(String task) {
        return false;
    }
}
