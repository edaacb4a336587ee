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
 * Keeps this daemon's registration and its liveness record in the store.
 *
 * <p>The liveness record is deleted when its lease expires. If the lease is lost, for example
 * during a pause of this process, the liveness record is created again under a new lease. The
 * registration is kept and marked as left when the daemon stops.
 *
 * <p>Invariants: at most one attempt to register or renew is in progress.
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
    private volatile String mLeaseId;
    private volatile boolean mStopped;

    /**
     * Constructs a keeper that has not been started.
     *
     * @param vertx the event loops, not null
     * @param store the platform's store, not null
     * @param self this daemon's registration, not null
     * @param leaseMillis time to live of the liveness record's lease, in milliseconds
     */
    public LeaseKeeper(Vertx vertx, Store store, Registration self, long leaseMillis) {
        mVertx = vertx;
        mStore = store;
        mSelf = self;
        mLeaseMillis = leaseMillis;
    }

    /** Registers this daemon, and starts renewing the lease of its liveness record. */
    public void start() {
        registerOrRenew();
    }

    /** Stores that this daemon has left, and ends the lease of its liveness record. */
    public Future<Void> stop() {
        mStopped = true;
        return put(
                        StateKeys.DAEMON + mSelf.name(),
                        RecordCodec.encode(mSelf.withLeft()),
                        Store.NO_LEASE)
                .compose(
                        ignored ->
                                mLeaseId == null
                                        ? Future.succeededFuture()
                                        : mStore.endLease(mLeaseId));
    }

    private void registerOrRenew() {
        if (mStopped) {
            return;
        }
        Future<Void> attempt = mLeaseId == null ? register() : renew();
        attempt.onComplete(
                ignored ->
                        mVertx.setTimer(
                                mLeaseMillis / RENEWALS_PER_LEASE, timer -> registerOrRenew()));
    }

    private Future<Void> renew() {
        return mStore.renewLease(mLeaseId)
                .onFailure(
                        cause -> {
                            if (cause instanceof LeaseLostException) {
                                LOGGER.log(
                                        Level.WARNING,
                                        "member: liveness record lost; registering again");
                                mLeaseId = null;
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
                                        .onSuccess(done -> mLeaseId = lease));
    }

    private Future<Void> put(String key, byte[] value, String lease) {
        return mStore.read(key)
                .map(VersionedValue::version)
                .compose(version -> mStore.write(key, version, value, lease))
                .mapEmpty();
    }
}
