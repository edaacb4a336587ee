package org.endivetray.daemon.membership;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.endivetray.daemon.state.LivenessRecord;
import org.endivetray.daemon.state.Registration;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.platform.LeaseLostException;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.Store;
import org.endivetray.platform.VersionedValue;

/**
 * Keeps this daemon's registration and its sign of life in the store.
 *
 * <p>The sign of life ends with its lease; when the lease was lost, as after a pause, a new one is
 * taken. The registration stays until the daemon has left.
 *
 * <p>Invariants: at most one attempt is under way.
 *
 * <p>This class is thread-safe.
 */
public final class LeaseKeeper {
    private static final Logger LOGGER = System.getLogger(LeaseKeeper.class.getName());
    private static final int RENEWALS_PER_LEASE = 3;

    private final Vertx mVertx;
    private final Store mStore;
    private final Registration mSelf;
    private final long mLeaseMillis;
    private volatile String mLease;
    private volatile boolean mStopped;

    /**
     * Constructs a keeper that has not been started.
     *
     * @param vertx the event loops, not null
     * @param store the platform's store, not null
     * @param self this daemon's registration, not null
     * @param leaseMillis time to live of the sign of life, in milliseconds
     */
    public LeaseKeeper(Vertx vertx, Store store, Registration self, long leaseMillis) {
        mVertx = vertx;
        mStore = store;
        mSelf = self;
        mLeaseMillis = leaseMillis;
    }

    /** Starts to register and renew. */
    public void start() {
        keep();
    }

    /** Says that this daemon has left, and ends the lease. */
    public Future<Void> stop() {
        mStopped = true;
        return put(
                        StateKeys.DAEMON + mSelf.name(),
                        RecordCodec.encode(mSelf.withLeft()),
                        Store.NO_LEASE)
                .compose(
                        ignored ->
                                mLease == null
                                        ? Future.succeededFuture()
                                        : mStore.endLease(mLease));
    }

    private void keep() {
        if (mStopped) {
            return;
        }
        Future<Void> attempt = mLease == null ? register() : renew();
        attempt.onComplete(
                ignored -> mVertx.setTimer(mLeaseMillis / RENEWALS_PER_LEASE, timer -> keep()));
    }

    private Future<Void> renew() {
        return mStore.renewLease(mLease)
                .onFailure(
                        cause -> {
                            if (cause instanceof LeaseLostException) {
                                LOGGER.log(Level.WARNING, "member: lease was lost");
                                mLease = null;
                            }
                        });
    }

    private Future<Void> register() {
        return put(StateKeys.DAEMON + mSelf.name(), RecordCodec.encode(mSelf), Store.NO_LEASE)
                .compose(ignored -> mStore.createLease(mLeaseMillis))
                .compose(
                        lease ->
                                put(
                                                StateKeys.LIVENESS + mSelf.name(),
                                                RecordCodec.encode(
                                                        new LivenessRecord(mSelf.incarnation())),
                                                lease)
                                        .onSuccess(done -> mLease = lease));
    }

    private Future<Void> put(String key, byte[] value, String lease) {
        return mStore.read(key)
                .map(VersionedValue::version)
                .compose(version -> mStore.write(key, version, value, lease))
                .mapEmpty();
    }
}
