package org.endivetray.policy.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Forecasts the processor demand of a pool, so that workers can be moved before the demand arises.
 *
 * <p>A rise is extrapolated linearly over the lead time. A fall takes effect at once, since the
 * workers that it frees are needed in other pools.
 *
 * <p>Invariants: a forecast is never below the latest demand.
 *
 * <p>This class is not thread-safe.
 */
public final class DemandForecast {
    /** Time over which a rise is measured, long enough to hold several load samples of a pool. */
    private static final long RISE_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(650);

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /**
     * Adds a sample of the pool's demand.
     *
     * @param demandCpuMillis processors in use and waited for, in thousandths of a core
     * @param nowNanos time on the monotonic clock, in nanoseconds
     */
    public void add(long demandCpuMillis, long nowNanos) {
        mSamples.addLast(new Sample(demandCpuMillis, nowNanos));
        while (nowNanos - mSamples.peekFirst().nanos() > RISE_WINDOW_NANOS) {
            mSamples.removeFirst();
        }
    }

    /** Returns the latest demand, in thousandths of a core, 0 without a sample. */
    public long latest() {
        return mSamples.isEmpty() ? 0 : mSamples.peekLast().demandCpuMillis();
    }

    /**
     * Returns the demand expected after the given time, in thousandths of a core.
     *
     * @param leadMillis time ahead of the latest sample, in milliseconds
     */
    public long demandAfter(long leadMillis) {
        if (mSamples.size() < 2) {
            return latest();
        }
        Sample first = mSamples.peekFirst();
        Sample last = mSamples.peekLast();
        double millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(last.nanos() - first.nanos()));
        double risePerMilli = (last.demandCpuMillis() - first.demandCpuMillis()) / millis;
        return latest() + Math.round(Math.max(0, risePerMilli) * leadMillis);
    }

    /** A demand at a point in time. */
    private record Sample(long demandCpuMillis, long nanos) {}
}
