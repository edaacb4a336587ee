package org.endivetray;

/**
 * A promise about the capacity that a pool keeps through planned and unplanned outages.
 *
 * <p>A budget never counts a worker whose state is unknown as available.
 *
 * <p>Invariants: {@code floorWorkers} and {@code maxPlannedOutages} are at least 0; {@code
 * survives} is not null.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param floorWorkers lowest number of available workers at any moment
 * @param maxPlannedOutages highest number of workers taken out by plans at once
 * @param survives the failure domain whose loss must still leave the floor, not null
 */
public record AvailabilityBudget(int floorWorkers, int maxPlannedOutages, FailureDomain survives) {
    /** Largest number of workers that a budget may name. */
    public static final int MAX_WORKERS = 100_000;

    /** A budget that promises nothing. */
    public static final AvailabilityBudget NONE = ofFloor(0);

    public AvailabilityBudget {
        requireRange("floorWorkers", floorWorkers);
        requireRange("maxPlannedOutages", maxPlannedOutages);
        survives = survives == null ? FailureDomain.NONE : survives;
    }

    /**
     * Returns a budget that keeps at least the given number of workers available.
     *
     * @param floorWorkers lowest number of available workers, 0 or more
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

    /** Returns a copy with another ceiling on planned outages, in workers. */
    public AvailabilityBudget withMaxPlannedOutages(int maxPlannedOutages) {
        return new AvailabilityBudget(floorWorkers, maxPlannedOutages, survives);
    }

    /** Returns a copy that must also survive the loss of the given failure domain. */
    public AvailabilityBudget withSurvives(FailureDomain survives) {
        return new AvailabilityBudget(floorWorkers, maxPlannedOutages, survives);
    }
}
