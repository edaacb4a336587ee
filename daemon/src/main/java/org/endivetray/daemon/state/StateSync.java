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
 * <p>The stored state is read in full once and then followed with a watch. If a call to the store
 * fails, the last known state stays in force and the full read is retried.
 *
 * <p>Invariants: at most one watch and one read of the host list are in progress, besides those of
 * {@link #catchUp()} and {@link #readHostList()}.
 *
 * <p>This class is thread-safe.
 */
public final class StateSync {
    private static final Logger LOGGER = System.getLogger(StateSync.class.getName());
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;
    private static final long RETRY_MILLIS = 200;

    private final Vertx mVertx;
    private final Store mStore;
    private final HostList mHostList;
    private final StateView mView;
    private final Metrics mMetrics;
    private final long mHostsRefreshMillis;
    private volatile boolean mIsStopped;
    private volatile boolean mIsStoreUp;
    private volatile boolean mHasFullState;

    /**
     * Constructs a synchronizer that has not been started.
     *
     * @param vertx the Vert.x instance that runs the timers, not null
     * @param store the platform's store, not null
     * @param hosts the platform's host list, not null
     * @param view updated with what is read, not null
     * @param metrics updated with the availability of the store, not null
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
        mHostList = hosts;
        mView = view;
        mMetrics = metrics;
        mHostsRefreshMillis = hostsRefreshMillis;
    }

    /** Starts to read the stored state and the host list. */
    public void start() {
        readFullState();
        refreshHostList();
    }

    /** Stops after the calls in progress. */
    public void stop() {
        mIsStopped = true;
    }

    /** Returns whether the last call to the store succeeded. */
    public boolean isStoreUp() {
        return mIsStoreUp;
    }

    /**
     * Reads the latest changes of the stored state now, such as after a pause of this process;
     * fails if the state has never been read in full.
     */
    public Future<Void> catchUp() {
        Future<Void> state =
                mHasFullState
                        ? mStore.watch(StateKeys.FLEET, mView.snapshot().revision(), 0)
                                .onSuccess(this::onChanges)
                                .mapEmpty()
                        : Future.failedFuture("the stored state has not been read yet");
        return state;
    }

    /** Reads the host list now. */
    public Future<Void> readHostList() {
        return mHostList.hosts().onSuccess(mView::onHostList).mapEmpty();
    }

    private void readFullState() {
        if (mIsStopped) {
            return;
        }
        mStore.list(StateKeys.FLEET)
                .onSuccess(
                        range -> {
                            mHasFullState = true;
                            setStoreUp(true);
                            mView.onFullState(range.entries(), range.revision());
                            watchChanges();
                        })
                .onFailure(cause -> retry(cause, this::readFullState));
    }

    private void watchChanges() {
        if (mIsStopped) {
            return;
        }
        mStore.watch(StateKeys.FLEET, mView.snapshot().revision(), WATCH_TIMEOUT_MILLIS)
                .onSuccess(
                        range -> {
                            onChanges(range);
                            watchChanges();
                        })
                .onFailure(cause -> retry(cause, this::readFullState));
    }

    private void onChanges(Store.Range range) {
        setStoreUp(true);
        if (!range.entries().isEmpty() || range.revision() > mView.snapshot().revision()) {
            mView.onValues(range.entries(), range.revision());
        }
    }

    private void retry(Throwable cause, Runnable action) {
        setStoreUp(false);
        LOGGER.log(
                Level.DEBUG,
                () -> "state: store call failed, retrying cause=" + cause.getMessage());
        mVertx.setTimer(RETRY_MILLIS, ignored -> action.run());
    }

    private void setStoreUp(boolean up) {
        if (up != mIsStoreUp) {
            LOGGER.log(Level.INFO, () -> "state: store is " + (up ? "up" : "down"));
        }
        mIsStoreUp = up;
        mMetrics.onStoreAvailability(up);
    }

    private void refreshHostList() {
        if (mIsStopped) {
            return;
        }
        mHostList
                .hosts()
                .onSuccess(mView::onHostList)
                .onComplete(
                        ignored ->
                                mVertx.setTimer(mHostsRefreshMillis, timer -> refreshHostList()));
    }
}
