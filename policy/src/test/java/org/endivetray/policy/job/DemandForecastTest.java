package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DemandForecastTest {
    private static final long LEAD_MILLIS = 2_000;

    private final DemandForecast mForecast = new DemandForecast();

    private void add(long millis, long demandCpuMillis) {
        mForecast.add(demandCpuMillis, TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void aForecastWithoutSamplesIsZero() {
        assertEquals(0, mForecast.demandAfter(LEAD_MILLIS));
    }

    @Test
    void aSingleSampleIsForecastUnchanged() {
        add(0, 5_000);
        assertEquals(5_000, mForecast.demandAfter(LEAD_MILLIS));
    }

    @Test
    void aRiseIsExtrapolatedLinearly() {
        add(0, 10_000);
        add(200, 20_000);
        add(400, 30_000);
        assertEquals(130_000, mForecast.demandAfter(LEAD_MILLIS));
    }

    @Test
    void aFallTakesEffectImmediately() {
        add(0, 400_000);
        add(200, 100_000);
        assertEquals(100_000, mForecast.demandAfter(LEAD_MILLIS));
    }

    @Test
    void aRiseOutsideTheWindowIsIgnored() {
        add(0, 0);
        add(1_000, 50_000);
        add(1_200, 50_000);
        assertEquals(50_000, mForecast.demandAfter(LEAD_MILLIS));
    }
}
