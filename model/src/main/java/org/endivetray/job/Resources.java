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
    public Resources times(int count) {
        return new Resources(cpuMillis * count, memoryMb * count, gpus * count);
    }
}
