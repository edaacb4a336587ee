package org.endivetray.daemon.job.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivetray.daemon.job.ownership.MinionDirectory;
import org.endivetray.daemon.job.ownership.SiteWatch;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.site.SiteCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests watches whose calls go silent and whose listeners fail.
 *
 * <p>This class is not thread-safe.
 */
class StoreWatchTest {
    private static final long STEP_MILLIS = 100;
    private static final long PERIOD_MILLIS = 5_000;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);

    private void putConfig(long version) {
        mStore.put(
                SiteCodec.CONFIG_KEY,
                ("{\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Guards against a configuration that comes into force too late because the watch call that
     * should have brought it got no reply. The time is the one after which the platform counts a
     * daemon as in touch again.
     */
    @ParameterizedTest
    @ValueSource(longs = {3_000, 4_000, 5_000})
    void aConfigurationIsInForceInTimeAfterTheWatchHasGoneSilentAtAnyMoment(long silenceMillis) {
        putConfig(1);
        SiteWatch watch =
                new SiteWatch(
                        mStore, mExecutor, StoreWatch.Timing.ofSilence(silenceMillis), () -> {});
        watch.start();
        mExecutor.advance(STEP_MILLIS);
        long version = 1;
        for (long moment = 0; moment < PERIOD_MILLIS; moment += STEP_MILLIS) {
            mExecutor.advance(PERIOD_MILLIS + moment);
            mStore.silenceWatches();
            version++;
            putConfig(version);
            mExecutor.advance(silenceMillis);
            assertThat(watch.config().version()).as("silent at " + moment).isEqualTo(version);
        }
    }

    /** Guards against registrations that are no longer followed. */
    @Test
    void aMinionThatDrainsIsKnownInTimeAfterTheWatchOfRegistrationsHasGoneSilent() {
        MinionDirectory minions =
                new MinionDirectory(
                        mStore,
                        mExecutor,
                        StoreWatch.Timing.ofSilence(3_000),
                        () -> true,
                        () -> {});
        putRegistration("ready");
        minions.ensureRunning();
        mExecutor.advance(1_000);
        assertThat(minions.ofPool("ice")).hasSize(1);
        mStore.silenceWatches();
        putRegistration("draining");
        mExecutor.advance(3_000);
        assertThat(minions.ofPool("ice").get(0).draining()).isTrue();
    }

    private void putRegistration(String state) {
        mStore.put(
                SiteCodec.MINIONS_PREFIX + "i-1",
                ("{\"service\":\"ice\",\"address\":\"10.0.0.9:80\",\"state\":\""
                                + state
                                + "\",\"capacity\":{\"cpu\":1,\"mem_mb\":1}}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against a watch that ends for good with an unexpected error of its listener. */
    @Test
    void aWatchGoesOnAfterItsListenerHasFailed() {
        List<String> keys = new ArrayList<>();
        StoreWatch watch =
                new StoreWatch(
                        mStore,
                        mExecutor,
                        "p/",
                        StoreWatch.Timing.ofSilence(3_000),
                        () -> true,
                        new StoreWatch.Listener() {
                            @Override
                            public void onListed(SharedStore.Range range) {
                                throw new IllegalStateException("simulated");
                            }

                            @Override
                            public void onChanged(SharedStore.Range range) {
                                range.entries().forEach(item -> keys.add(item.key()));
                                if (keys.contains("p/bad") && !keys.contains("p/good")) {
                                    throw new IllegalStateException("simulated");
                                }
                            }
                        });
        watch.start();
        mExecutor.advance(STEP_MILLIS);
        mStore.put("p/bad", new byte[] {1});
        mExecutor.advance(STEP_MILLIS);
        mStore.put("p/good", new byte[] {1});
        mExecutor.advance(STEP_MILLIS);
        assertThat(keys).contains("p/bad", "p/good");
    }
}
