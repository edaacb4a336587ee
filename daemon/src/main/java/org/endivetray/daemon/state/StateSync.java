package org.endivetray.daemon.state;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.platform.HostList;
import org.endivetray.platform.Store;

/**
 * Keeps the state view up to date with the platform's store and host list.
 *
 * <p>The stored state is read once in whole and then followed by one watch. When the store does not
 * answer, the last state stays in force and the watch is tried again.
 *
 * <p>Invariants: at most one watch and one read of the host list are under way, besides those of
 * {@link #catchUp()}.
 *
 * <p>This class is thread-safe.
 */
public final class StateSync {
    private static final Logger LOGGER = System.getLogger(StateSync.class.getName());
    private static final long WATCH_MILLIS = 10_000;
    private static final long RETRY_MILLIS = 200;

    private final Vertx mVertx;
    private final Store mStore;
    private final HostList mHosts;
    private final StateView mView;
    private final Metrics mMetrics;
    private final long mHostsRefreshMillis;
    private volatile boolean mStopped;
    private volatile boolean mStoreUp;
    private volatile boolean mListed;

    /**
     * Constructs a synchronizer that has not been started.
     *
     * @param vertx the event loops, not null
     * @param store the platform's store, not null
     * @param hosts the platform's host list, not null
     * @param view takes in what is read, not null
     * @param metrics records the store's health, not null
     * @param hostsRefreshMillis time between reads of the host list, in milliseconds
     */
    public StateSync(
            Vertx vertx,
            Store store,
            HostList hosts,
            StateView view,
            Metrics metrics,
            long hostsRefreshMillis) {
        mVertx = vertx;
        mStore = store;
        mHosts = hosts;
        mView = view;
        mMetrics = metrics;
        mHostsRefreshMillis = hostsRefreshMillis;
    }

    /** Starts to read. */
    public void start() {
        list();
        refreshHosts();
    }

    /** Stops reading. */
    public void stop() {
        mStopped = true;
    }

    /** Returns whether the last call to the store was answered. */
    public boolean isStoreUp() {
        return mStoreUp;
    }

    /** Reads all changes and the host list now, as after a pause of this process. */
    public Future<Void> catchUp() {
        Future<Void> state =
                mListed
                        ? mStore.watch(StateKeys.FLEET, mView.snapshot().revision(), 0)
                                .onSuccess(this::onChanges)
                                .mapEmpty()
                        : Future.failedFuture("the stored state has not been read yet");
        return state;
    }

    /** Reads the host list now. */
    public Future<Void> readHostList() {
        return mHosts.hosts().onSuccess(mView::onHostList).mapEmpty();
    }

    private void list() {
        if (mStopped) {
            return;
        }
        mStore.list(StateKeys.FLEET)
                .onSuccess(
                        range -> {
                            mListed = true;
                            setStoreUp(true);
                            mView.onFullState(range.entries(), range.revision());
                            watch();
                        })
                .onFailure(cause -> retry(cause, this::list));
    }

    private void watch() {
        if (mStopped) {
            return;
        }
        mStore.watch(StateKeys.FLEET, mView.snapshot().revision(), WATCH_MILLIS)
                .onSuccess(
                        range -> {
                            onChanges(range);
                            watch();
                        })
                .onFailure(cause -> retry(cause, this::list));
    }

    private void onChanges(Store.Range range) {
        setStoreUp(true);
        if (!range.entries().isEmpty() || range.revision() > mView.snapshot().revision()) {
            mView.onValues(range.entries(), range.revision());
        }
    }

    private void retry(Throwable cause, Runnable action) {
        setStoreUp(false);
        LOGGER.log(Level.DEBUG, () -> "state: store does not answer cause=" + cause.getMessage());
        mVertx.setTimer(RETRY_MILLIS, ignored -> action.run());
    }

    private void setStoreUp(boolean up) {
        if (up != mStoreUp) {
            LOGGER.log(Level.INFO, () -> "state: store is " + (up ? "up" : "down"));
        }
        mStoreUp = up;
        mMetrics.onStoreAvailability(up);
    }

    private void refreshHosts() {
        if (mStopped) {
            return;
        }
        mHosts.hosts()
                .onSuccess(mView::onHostList)
                .onComplete(
                        ignored -> mVertx.setTimer(mHostsRefreshMillis, timer -> refreshHosts()));
    }
}
