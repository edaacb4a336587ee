package org.endivetray;

import java.util.Map;

/**
 * What a plan is expected to cost.
 *
 * <p>Invariants: numbers are at least 0; the map is not null.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param moves number of workers that change pools
 * @param rolloutSeconds expected time from confirmation to the end
 * @param lowestAvailable lowest number of available workers per touched pool
 */
public record PlanEstimate(int moves, int rolloutSeconds, Map<String, Integer> lowestAvailable) {
    public PlanEstimate {
        lowestAvailable = Map.copyOf(lowestAvailable);
    }
}
