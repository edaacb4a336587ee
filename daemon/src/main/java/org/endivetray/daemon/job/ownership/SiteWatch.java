package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.job.SiteConfig;
import org.endivetray.job.WaveRequest;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;
import org.endivetray.platform.site.SiteCodec;

/**
 * Watches the configuration and the maintenance waves that operators write to the shared store.
 *
 * <p>Invariants: a configuration is never replaced by an earlier version.
 *
 * <p>{@link #config} and {@link #waves} are thread-safe; the rest belongs to the scheduler's
 * thread.
 */
public final class SiteWatch implements StoreWatch.Listener {
    private static final Logger LOGGER = System.getLogger(SiteWatch.class.getName());

    private final StoreWatch mWatch;
    private final Runnable mOnChange;
    private volatile SiteConfig mConfig;
    private volatile Map<Long, WaveRequest> mWaves = Map.of();

    /**
     * Constructs a watch that has not been started.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param timing the times of the watch, not null
     * @param onChange called after each change, not null
     */
    public SiteWatch(
            SharedStore store,
            SchedulerExecutor executor,
            StoreWatch.Timing timing,
            Runnable onChange) {
        mWatch =
                new StoreWatch(
                        store, executor, SiteCodec.OPERATORS_PREFIX, timing, () -> true, this);
        mOnChange = onChange;
    }

    /** Starts the watch. */
    public void start() {
        mWatch.start();
    }

    /** Returns the configuration in force, null if none is known. */
    public SiteConfig config() {
        return mConfig;
    }

    /** Returns the maintenance waves by number. */
    public Map<Long, WaveRequest> waves() {
        return mWaves;
    }

    @Override
    public void onListed(SharedStore.Range range) {
        apply(range);
    }

    @Override
    public void onChanged(SharedStore.Range range) {
        apply(range);
    }

    private void apply(SharedStore.Range range) {
        if (range.entries().isEmpty()) {
            return;
        }
        for (VersionedValue item : range.entries()) {
            if (!item.isPresent()) {
                continue;
            }
            if (item.key().equals(SiteCodec.CONFIG_KEY)) {
                SiteCodec.decodeConfig(item.value()).ifPresent(this::applyConfig);
            } else if (item.key().startsWith(SiteCodec.WAVES_PREFIX)) {
                SiteCodec.decodeWave(item.value()).ifPresent(this::applyWave);
            }
        }
        mOnChange.run();
    }

    private void applyConfig(SiteConfig config) {
        if (mConfig != null && config.version() <= mConfig.version()) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "config: in force version={0} queues={1} pools={2} accounts={3}",
                Long.toString(config.version()),
                Integer.toString(config.queues().size()),
                Integer.toString(config.pools().size()),
                Integer.toString(config.accounts().byName().size()));
        mConfig = config;
    }

    private void applyWave(WaveRequest wave) {
        if (!wave.equals(mWaves.get(wave.number()))) {
            LOGGER.log(
                    Level.INFO,
                    "wave: requested wave={0} workers={1} atOnce={2} within={3}ms",
                    Long.toString(wave.number()),
                    Integer.toString(wave.workers().size()),
                    Integer.toString(wave.maxAtOnce()),
                    Long.toString(wave.durationMillis()));
        }
        Map<Long, WaveRequest> waves = new HashMap<>(mWaves);
        waves.put(wave.number(), wave);
        mWaves = Map.copyOf(waves);
    }
}
