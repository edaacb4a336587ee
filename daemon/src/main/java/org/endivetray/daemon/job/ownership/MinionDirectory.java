package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;
import org.endivetray.platform.site.SiteCodec;

/**
 * Watches the minions' registrations while this daemon owns shards.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class MinionDirectory implements StoreWatch.Listener {
    private static final Logger LOGGER = System.getLogger(MinionDirectory.class.getName());

    /** Delay between calls, because minions rewrite their registrations continuously. */
    private static final long PAUSE_MILLIS = 300;

    private final StoreWatch mWatch;
    private final BooleanSupplier mIsNeeded;
    private final Runnable mOnChange;
    private final Map<String, MinionInfo> mMinions = new HashMap<>();

    /** Keys of the present registrations that name no minion. */
    private final Set<String> mIgnored = new HashSet<>();

    /**
     * Constructs an empty directory.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param timing the times of the watch, not null
     * @param isNeeded whether this daemon owns shards, not null
     * @param onChange called after each change, not null
     */
    public MinionDirectory(
            SharedStore store,
            SchedulerExecutor executor,
            StoreWatch.Timing timing,
            BooleanSupplier isNeeded,
            Runnable onChange) {
        mWatch =
                new StoreWatch(
                        store,
                        executor,
                        SiteCodec.MINIONS_PREFIX,
                        timing.withPause(PAUSE_MILLIS),
                        isNeeded,
                        this);
        mIsNeeded = isNeeded;
        mOnChange = onChange;
    }

    /** Starts the watch if this daemon owns shards and the watch is not running yet. */
    public void ensureRunning() {
        if (mIsNeeded.getAsBoolean() && !mWatch.isRunning()) {
            mMinions.clear();
            mWatch.start();
        }
    }

    /**
     * Returns the registered minions of a pool, none while the registrations are not followed or
     * have not been listed yet.
     */
    public List<MinionInfo> ofPool(String pool) {
        if (!mWatch.isRunning()) {
            return List.of();
        }
        return mMinions.values().stream().filter(info -> info.pool().equals(pool)).toList();
    }

    @Override
    public void onListed(SharedStore.Range range) {
        mMinions.clear();
        range.entries().forEach(this::apply);
        mOnChange.run();
    }

    @Override
    public void onChanged(SharedStore.Range range) {
        range.entries().forEach(this::apply);
        if (!range.entries().isEmpty()) {
            mOnChange.run();
        }
    }

    private void apply(VersionedValue item) {
        MinionInfo info =
                item.isPresent()
                        ? SiteCodec.decodeMinion(item.key(), item.value()).orElse(null)
                        : null;
        boolean isIgnored = item.isPresent() && info == null;
        if (!isIgnored) {
            mIgnored.remove(item.key());
        } else if (mIgnored.add(item.key())) {
            LOGGER.log(
                    Level.INFO, "minion: ignored registration that names none key={0}", item.key());
        }
        if (info == null) {
            mMinions.remove(item.key().substring(SiteCodec.MINIONS_PREFIX.length()));
        } else {
            mMinions.put(info.id(), info);
        }
    }
}
