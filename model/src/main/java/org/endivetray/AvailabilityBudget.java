package org.endivetray;

/**
 * The capacity that a pool must keep during planned and unplanned outages.
 *
 * <p>A worker whose state is unknown never counts as available.
 *
 * <p>Invariants: {@code floorWorkers} and {@code maxPlannedOutages} are between 0 and {@link
 * #MAX_WORKERS}; {@code survives} is not null.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param floorWorkers minimum number of available workers at any time
 * @param maxPlannedOutages maximum number of workers that plans take out of service at once
 * @param survives the failure domain whose loss must leave the minimum available, null for {@link
 *     FailureDomain#NONE}
 */
public record AvailabilityBudget(int floorWorkers, int maxPlannedOutages, FailureDomain survives) {
    /** Maximum number of workers in a budget. */
    public static final int MAX_WORKERS = 100_000;

    /** A budget without requirements. */
    public static final AvailabilityBudget NONE = ofFloor(0);

    public AvailabilityBudget {
        requireRange("floorWorkers", floorWorkers);
        requireRange("maxPlannedOutages", maxPlannedOutages);
        survives = survives == null ? FailureDomain.NONE : survives;
    }

    /**
     * Returns a budget that keeps at least the given number of workers available.
     *
     * @param floorWorkers minimum number of available workers, 0 to {@link #MAX_WORKERS}
     * @throws EndivetrayException with {@link ResultCode#INVALID_BUDGET} if out of range
     */
    public static AvailabilityBudget ofFloor(int floorWorkers) {
        return new AvailabilityBudget(floorWorkers, MAX_WORKERS, FailureDomain.NONE);
    }

    private static void requireRange(String name, int value) {
        if (value < 0 || value > MAX_WORKERS) {
            throw new EndivetrayException(
                    ResultCode.INVALID_BUDGET,
                    name + " must be between 0 and " + MAX_WORKERS + ": " + value);
        }
    }

    /** Returns a copy with another limit on planned outages, in workers. */
    public AvailabilityBudget withMaxPlannedOutages(int maxPlannedOutages) {
        return new AvailabilityBudget(floorWorkers, maxPlannedOutages, survives);
    }

    /** Returns a copy that must also survive the loss of the given failure domain. */
    public AvailabilityBudget withSurvives(FailureDomain survives) {
        return new AvailabilityBudget(floorWorkers, maxPlannedOutages, survives);
    }
}
