package org.endivetray.policy.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Forecasts how many processors a pool will ask for by the time a worker that is moved now arrives.
 *
 * <p>A rise goes on as steeply as it has begun; a fall is believed as soon as it is seen, since the
 * workers that it sets free are wanted elsewhere.
 *
 * <p>Invariants: a forecast is never below the latest demand.
 *
 * <p>This class is not thread-safe.
 */
public final class DemandForecast {
    /** Time over which a rise is measured. A few looks at a pool's load. */
    private static final long RISE_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(650);

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /**
     * Takes note of a pool's demand.
     *
     * @param demandCpuMillis processors in use and waited for, in thousandths of a core
     * @param nowNanos the steady clock
     */
    public void add(long demandCpuMillis, long nowNanos) {
        mSamples.addLast(new Sample(demandCpuMillis, nowNanos));
        while (nowNanos - mSamples.peekFirst().nanos() > RISE_WINDOW_NANOS) {
            mSamples.removeFirst();
        }
    }

    /** Returns the latest demand, in thousandths of a core, 0 if none is known. */
    public long latest() {
        return mSamples.isEmpty() ? 0 : mSamples.peekLast().demandCpuMillis();
    }

    /**
     * Returns the expected demand, in thousandths of a core.
     *
     * @param leadMillis time ahead, in milliseconds
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

    /** A demand at a moment. */
    private record Sample(long demandCpuMillis, long nanos) {}
}
