package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import org.endivetray.daemon.job.SchedulerExecutor;
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
public final class SiteWatch {
    private static final Logger LOGGER = System.getLogger(SiteWatch.class.getName());

    /**
     * Longest wait of one watch call. A configuration must be in force within seconds, also if the
     * connection of the call has gone silent.
     */
    private static final long WAIT_MILLIS = 2_500;

    /** Delay before the keys are listed again after a list or watch call has failed. */
    private static final long RETRY_MILLIS = 200;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final Runnable mOnChange;
    private volatile SiteConfig mConfig;
    private volatile Map<Long, WaveRequest> mWaves = Map.of();
    private boolean mIsStopped;

    /**
     * Constructs a watch that has not been started.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param onChange called after each change, not null
     */
    public SiteWatch(SharedStore store, SchedulerExecutor executor, Runnable onChange) {
        mStore = store;
        mExecutor = executor;
        mOnChange = onChange;
    }

    /** Starts the watch. */
    public void start() {
        list();
    }

    /** Stops the watch. */
    public void stop() {
        mIsStopped = true;
    }

    /** Returns the configuration in force, null if none is known. */
    public SiteConfig config() {
        return mConfig;
    }

    /** Returns the maintenance waves by number. */
    public Map<Long, WaveRequest> waves() {
        return mWaves;
    }

    private void list() {
        if (mIsStopped) {
            return;
        }
        mExecutor.onComplete(
                mStore.list(SiteCodec.OPERATORS_PREFIX, false),
                (range, cause) -> {
                    if (cause != null) {
                        LOGGER.log(
                                Level.INFO, "config: cannot read configuration reason={0}", cause);
                        mExecutor.schedule(RETRY_MILLIS, this::list);
                        return;
                    }
                    apply(range);
                    watch(range.revision());
                });
    }

    private void watch(long revision) {
        if (mIsStopped) {
            return;
        }
        mExecutor.onComplete(
                mStore.watch(SiteCodec.OPERATORS_PREFIX, revision, WAIT_MILLIS),
                (range, cause) -> {
                    if (cause != null) {
                        mExecutor.schedule(RETRY_MILLIS, this::list);
                        return;
                    }
                    apply(range);
                    watch(Math.max(revision, range.revision()));
                });
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
                "config: in force version={0} queues={1} pools={2}",
                Long.toString(config.version()),
                Integer.toString(config.queues().size()),
                Integer.toString(config.pools().size()));
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
