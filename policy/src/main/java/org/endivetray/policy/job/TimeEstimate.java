package org.endivetray.policy.job;

/**
 * An estimate of the time until something happens, with its spread.
 *
 * <p>Invariants: the late time is not before the expected one.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param expectedMillis the median, in milliseconds
 * @param lateMillis the time that is exceeded in one of ten cases, in milliseconds
 */
public record TimeEstimate(long expectedMillis, long lateMillis) {
    /** Something that has happened. */
    public static final TimeEstimate NOW = new TimeEstimate(0, 0);

    public TimeEstimate {
        if (lateMillis < expectedMillis) {
            throw new IllegalArgumentException("late before expected: " + lateMillis);
        }
    }

    /** Returns the estimate of something that takes a factor longer. */
    public TimeEstimate times(double factor) {
        return new TimeEstimate(
                Math.round(expectedMillis * factor), Math.round(lateMillis * factor));
    }

    /** Returns the estimate of the moment at which both this and another thing have happened. */
    public TimeEstimate and(TimeEstimate other) {
        return new TimeEstimate(
                Math.max(expectedMillis, other.expectedMillis),
                Math.max(lateMillis, other.lateMillis));
    }

    /** Returns how much later than expected it may happen, in milliseconds. */
    public long spreadMillis() {
        return lateMillis - expectedMillis;
    }
}
