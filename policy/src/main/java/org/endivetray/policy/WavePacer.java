package org.endivetray.policy;

import java.util.List;
import org.endivetray.PlanStep;
import org.endivetray.StepKind;
import org.endivetray.StepState;

/**
 * Paces the reboots of a wave. Starts with one worker and then allows {@link
 * #CONCURRENCY_PER_COMPLETION} at a time for each completed one, so that a fault shows on few
 * workers before it can reach many.
 *
 * <p>Failures in a wave are correlated, so the wave halts when a worker fails before any has
 * completed, or when at least {@link #FAILURES_TO_HALT} workers and at least a tenth of those
 * finished have failed.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class WavePacer {
    /** Number of failed workers from which a wave with completed workers may halt. */
    public static final int FAILURES_TO_HALT = 2;

    private static final double FAILED_SHARE_TO_HALT = 0.1;

    /** Number of workers that may be in progress for each completed one. */
    public static final int CONCURRENCY_PER_COMPLETION = 16;

    private WavePacer() {}

    /**
     * Returns how many more workers of the wave may be started now.
     *
     * @param steps the plan's steps with their present states, not null
     */
    public static int startableWorkers(List<PlanStep> steps) {
        int done = count(steps, StepState.DONE);
        int underWay = 0;
        for (PlanStep step : steps) {
            if (step.kind() == StepKind.MAINTAIN && step.state().isUnderWay()) {
                underWay++;
            }
        }
        int ceiling = done == 0 ? 1 : done * CONCURRENCY_PER_COMPLETION;
        return Math.max(0, ceiling - underWay);
    }

    /**
     * Returns whether the failures so far halt the wave.
     *
     * @param steps the plan's steps with their present states, not null
     */
    public static boolean mustHalt(List<PlanStep> steps) {
        int failed = count(steps, StepState.FAILED);
        int done = count(steps, StepState.DONE);
        if (failed > 0 && done == 0) {
            return true;
        }
        return failed >= FAILURES_TO_HALT && failed >= FAILED_SHARE_TO_HALT * (failed + done);
    }

    private static int count(List<PlanStep> steps, StepState state) {
        return (int)
                steps.stream()
                        .filter(step -> step.kind() == StepKind.MAINTAIN)
                        .filter(step -> step.state() == state)
                        .count();
    }
}
