package org.endivetray.policy;

import java.util.List;
import org.endivetray.PlanEstimate;
import org.endivetray.PlanStep;

/**
 * The steps that carry out an intent, and their estimated cost.
 *
 * <p>Invariants: steps are ordered by stage.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param steps the steps, one for each action on a worker, not null
 * @param estimate expected cost, not null
 */
public record PlanDraft(List<PlanStep> steps, PlanEstimate estimate) {
    public PlanDraft {
        steps = List.copyOf(steps);
    }
}
