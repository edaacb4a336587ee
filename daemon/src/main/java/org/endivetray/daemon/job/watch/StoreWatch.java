package org.endivetray.daemon.job.watch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.platform.SharedStore;

/**
 * Follows the keys with a prefix in the shared store: lists them, then watches for changes, and
 * lists them again after a call has failed.
 *
 * <p>Invariants: at most one call is in flight; while the watch is needed, a next call follows
 * whatever became of the last one and whatever the listener does.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class StoreWatch {
    private static final Logger LOGGER = System.getLogger(StoreWatch.class.getName());

    /** Delay before the keys are listed again after a list or watch call has failed. */
    private static final long RETRY_MILLIS = 100;

    /** Longest wait of one watch call. */
    private static final long MAX_WAIT_MILLIS = 2_500;

    /** Shortest longest wait of one watch call, which bounds the number of calls. */
    private static final long MIN_WAIT_MILLIS = 500;

    /** Time left for the list after a watch whose connection has gone silent. */
    private static final long LIST_MILLIS = 700;

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final String mPrefix;
    private final Timing mTiming;
    private final BooleanSupplier mIsNeeded;
    private final Listener mListener;
    private boolean mIsRunning;

    /** Receives the keys with their values. */
    public interface Listener {
        /** Called with all present keys. */
        void onListed(SharedStore.Range range);

        /** Called with the keys that have changed or were removed, which may be none. */
        void onChanged(SharedStore.Range range);
    }

    /**
     * The times of a watch.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param waitMillis longest wait of one call, in milliseconds
     * @param pauseMillis delay between two calls, in milliseconds, 0 for none
     */
    public record Timing(long waitMillis, long pauseMillis) {
        /**
         * Returns the times with which a change is known within a time after the connections to the
         * store have gone silent.
         *
         * @param silenceMillis the time, in milliseconds
         */
        public static Timing ofSilence(long silenceMillis) {
            long wait = silenceMillis - SharedStore.WATCH_GRACE_MILLIS - RETRY_MILLIS - LIST_MILLIS;
            return new Timing(Math.max(MIN_WAIT_MILLIS, Math.min(wait, MAX_WAIT_MILLIS)), 0);
        }

        /** Returns a copy with a delay between two calls, in milliseconds. */
        public Timing withPause(long millis) {
            return new Timing(waitMillis, millis);
        }
    }

    /**
     * Constructs a watch that has not been started.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param prefix prefix of the keys, not null
     * @param timing the times, not null
     * @param isNeeded whether the watch is to go on, not null
     * @param listener receives the keys, not null
     */
    public StoreWatch(
            SharedStore store,
            SchedulerExecutor executor,
            String prefix,
            Timing timing,
            BooleanSupplier isNeeded,
            Listener listener) {
        mStore = store;
        mExecutor = executor;
        mPrefix = prefix;
        mTiming = timing;
        mIsNeeded = isNeeded;
        mListener = listener;
    }

    /** Starts with a list, unless the watch is running. */
    public void start() {
        if (!mIsRunning) {
            mIsRunning = true;
            list();
        }
    }

    /** Starts with the changes after a revision at which the keys are known. */
    public void startAfter(long revision) {
        if (!mIsRunning) {
            mIsRunning = true;
            watch(revision);
        }
    }

    /** Returns whether the watch has been started and has not stopped for lack of need. */
    public boolean isRunning() {
        return mIsRunning;
    }

    private boolean stopIfUnneeded() {
        mIsRunning &= mIsNeeded.getAsBoolean();
        return !mIsRunning;
    }

    private void list() {
        if (stopIfUnneeded()) {
            return;
        }
        mExecutor.onComplete(
                mStore.list(mPrefix, false),
                (range, cause) -> {
                    if (cause != null) {
                        LOGGER.log(
                                Level.INFO,
                                "state: cannot list prefix={0} reason={1}",
                                mPrefix,
                                cause.getMessage());
                        mExecutor.schedule(RETRY_MILLIS, this::list);
                        return;
                    }
                    notifyListener(() -> mListener.onListed(range));
                    continueAfter(range.revision());
                });
    }

    private void watch(long revision) {
        if (stopIfUnneeded()) {
            return;
        }
        mExecutor.onComplete(
                mStore.watch(mPrefix, revision, mTiming.waitMillis()),
                (range, cause) -> {
                    if (cause != null) {
                        LOGGER.log(
                                Level.INFO,
                                "state: watch failed prefix={0} reason={1}",
                                mPrefix,
                                cause.getMessage());
                        mExecutor.schedule(RETRY_MILLIS, this::list);
                        return;
                    }
                    notifyListener(() -> mListener.onChanged(range));
                    continueAfter(Math.max(revision, range.revision()));
                });
    }

    private void continueAfter(long revision) {
        if (mTiming.pauseMillis() == 0) {
            watch(revision);
        } else {
            mExecutor.schedule(mTiming.pauseMillis(), () -> watch(revision));
        }
    }

    private void notifyListener(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "state: unexpected error of a watch prefix=" + mPrefix, e);
        }
    }
}
