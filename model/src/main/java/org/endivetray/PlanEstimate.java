package org.endivetray;

import java.util.Map;

/**
 * The expected cost of a plan.
 *
 * <p>Invariants: numbers are at least 0; the map is not null.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param moves number of workers that change pools
 * @param rolloutSeconds expected time from confirmation to completion, in seconds
 * @param lowestAvailable lowest number of available workers during the plan, by name of the pool,
 *     for each pool that the plan changes
 */
public record PlanEstimate(int moves, int rolloutSeconds, Map<String, Integer> lowestAvailable) {
    public PlanEstimate {
        lowestAvailable = Map.copyOf(lowestAvailable);
    }
}
