package org.endivetray.job;

/**
 * Amounts of the resources that tasks take.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param cpuMillis processors, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param gpus accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns what a task of a step takes. */
    public static Resources ofTask(StepSpec step) {
        return new Resources(step.cpuMillis(), step.memoryMb(), step.gpus());
    }

    /** Returns the sum of these and other resources. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /** Returns these resources without others; amounts may become negative. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    /** Returns the resources of several tasks that take these each. */
    public Resources times(long count) {
        return new Resources(cpuMillis * count, memoryMb * count, gpus * count);
    }

    /** Returns the smaller amount of each resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpuMillis, other.cpuMillis),
                Math.min(memoryMb, other.memoryMb),
                Math.min(gpus, other.gpus));
    }

    /** Returns the larger amount of each resource. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(gpus, other.gpus));
    }

    /** Returns whether no amount of other resources is larger than the one of these. */
    public boolean covers(Resources other) {
        return cpuMillis >= other.cpuMillis && memoryMb >= other.memoryMb && gpus >= other.gpus;
    }

    /** Returns the resources that a cap limits; the amounts that it does not limit become 0. */
    public Resources limitedBy(Resources cap) {
        return new Resources(
                cap.cpuMillis > 0 ? cpuMillis : 0,
                cap.memoryMb > 0 ? memoryMb : 0,
                cap.gpus > 0 ? gpus : 0);
    }

    /** Returns the amounts divided by a number, rounded up. */
    public Resources dividedBy(long divisor) {
        return new Resources(
                ceilDiv(cpuMillis, divisor), ceilDiv(memoryMb, divisor), ceilDiv(gpus, divisor));
    }

    private static long ceilDiv(long amount, long divisor) {
        return -Math.floorDiv(-amount, divisor);
    }
}
