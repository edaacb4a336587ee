package org.endivetray.daemon.job.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;

/**
 * Keeps the lease under which this daemon is registered in the shared store.
 *
 * <p>Each registration replaces a known version of the key, so that one of an earlier incarnation,
 * or an earlier one of this daemon, has no effect once a later one is stored. A registration that
 * differs from this daemon's is replaced.
 *
 * <p>Invariants: the lease is reported as valid only while it has certainly not expired, also if
 * the host was suspended or its wall clock was set meanwhile.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class DaemonLease {
    private static final Logger LOGGER = System.getLogger(DaemonLease.class.getName());

    /** Time to live, which bounds the time that a daemon's shards have no owner after a crash. */
    private static final long LEASE_MILLIS = 2_500;

    /**
     * Subtracted from the lease for the transit time of an order; covers several slow round trips.
     */
    private static final long MARGIN_MILLIS = 600;

    /**
     * Time after which a failed renewal no longer shows that this daemon has gone on running;
     * covers the longest time between the failures of two renewals while the store is away.
     */
    private static final long FAILURE_VALID_MILLIS = 2_000;

    /** Time between renewals, about a quarter of the lease. */
    private static final long RENEW_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final BooleanSupplier mIsStoreAway;
    private final Runnable mOnLost;
    private OwnershipView.DaemonRecord mSelf;
    private long mId = SharedStore.NO_LEASE;
    private boolean mIsRegistered;

    /** Last known version of the registration's key. */
    private long mVersion = SharedStore.ABSENT;

    private boolean mIsCalling;
    private long mNextCallNanos;
    private long mRegisteredNanos;
    private long mRenewedNanos;
    private long mRenewedMillis;
    private boolean mHasFailed;
    private long mFailedNanos;
    private long mFailedMillis;

    /**
     * Constructs a lease that has not been created in the store.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param self this daemon, not null
     * @param isStoreAway whether neither this daemon nor its peers reach the store, not null
     * @param onLost called when the lease has ended, not null
     */
    DaemonLease(
            SharedStore store,
            SchedulerExecutor executor,
            OwnershipView.DaemonRecord self,
            BooleanSupplier isStoreAway,
            Runnable onLost) {
        mStore = store;
        mExecutor = executor;
        mSelf = self;
        mIsStoreAway = isStoreAway;
        mOnLost = onLost;
    }

    /** Returns the lease's id, {@link SharedStore#NO_LEASE} if there is none. */
    long id() {
        return mId;
    }

    /** Returns whether this daemon is registered under the lease. */
    boolean isRegistered() {
        return mIsRegistered;
    }

    /** Returns the time of the monotonic clock of the latest registration, in nanoseconds. */
    long registeredNanos() {
        return mRegisteredNanos;
    }

    /** Returns whether this daemon has announced that it stops. */
    boolean isStopping() {
        return mSelf.isStopping();
    }

    /** Registers this daemon as stopping. */
    void announceStop() {
        mSelf = mSelf.stopping();
        mIsRegistered = false;
        mNextCallNanos = mExecutor.nanoTime();
    }

    /**
     * Returns whether the lease has certainly not expired.
     *
     * <p>The monotonic clock stops while a host is suspended and the wall clock may jump, so both
     * must show that the lease is valid.
     */
    boolean isValid() {
        long monotonic = TimeUnit.NANOSECONDS.toMillis(mExecutor.nanoTime() - mRenewedNanos);
        long wallClock = mExecutor.currentTimeMillis() - mRenewedMillis;
        return mId != SharedStore.NO_LEASE
                && monotonic < LEASE_MILLIS - MARGIN_MILLIS
                && wallClock < LEASE_MILLIS - MARGIN_MILLIS
                && wallClock >= monotonic - MARGIN_MILLIS;
    }

    /**
     * Returns whether this daemon may go on with what it owns: its lease has certainly not expired,
     * or a renewal has just failed while the store is away for the peers too, so that no other
     * daemon can take over. A daemon that reaches neither the store nor its peers may have a
     * successor. After a pause neither holds until the store has been asked again.
     */
    boolean mayAct() {
        return isValid() || hasFailedRecently() && mIsStoreAway.getAsBoolean();
    }

    private boolean hasFailedRecently() {
        long monotonic = TimeUnit.NANOSECONDS.toMillis(mExecutor.nanoTime() - mFailedNanos);
        long wallClock = mExecutor.currentTimeMillis() - mFailedMillis;
        return mHasFailed
                && monotonic < FAILURE_VALID_MILLIS
                && wallClock < FAILURE_VALID_MILLIS
                && wallClock >= monotonic - MARGIN_MILLIS;
    }

    /**
     * Creates, registers or renews the lease, when due. It is renewed at once when it is no longer
     * certainly valid, as after a pause, but not because a renewal has failed.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void tick(long nowNanos) {
        boolean isUncertain = mId != SharedStore.NO_LEASE && !isValid() && !hasFailedRecently();
        if (mIsCalling || !isUncertain && nowNanos - mNextCallNanos < 0) {
            return;
        }
        boolean isRenewalDue = nowNanos - mRenewedNanos >= RENEW_INTERVAL_NANOS;
        if (mId == SharedStore.NO_LEASE) {
            create();
        } else if (!mIsRegistered && !isRenewalDue) {
            register();
        } else {
            renew();
        }
    }

    /**
     * Registers this daemon again if its registration was removed or replaced, as by a late write
     * of an earlier incarnation.
     *
     * @param view the registrations in the store, not null
     */
    void verifyRegistration(OwnershipView view) {
        OwnershipView.DaemonRecord stored = view.daemons().get(mSelf.name());
        if (!mIsRegistered || view.revision() < mVersion || mSelf.equals(stored)) {
            return;
        }
        LOGGER.log(
                Level.WARNING,
                "shard: registration differs, registering again name={0} incarnation={1} found={2}"
                        + " revision={3} registered={4}",
                mSelf.name(),
                Long.toString(mSelf.incarnation()),
                stored,
                Long.toString(view.revision()),
                Long.toString(mVersion));
        mIsRegistered = false;
        mNextCallNanos = mRegisteredNanos + RENEW_INTERVAL_NANOS / 2;
    }

    private void create() {
        mIsCalling = true;
        long sentNanos = mExecutor.nanoTime();
        long sentMillis = mExecutor.currentTimeMillis();
        mExecutor.onComplete(
                mStore.createLease(LEASE_MILLIS),
                (lease, cause) -> {
                    mIsCalling = false;
                    if (cause == null) {
                        mId = lease;
                        onRenewed(sentNanos, sentMillis);
                        mNextCallNanos = mExecutor.nanoTime();
                    } else {
                        scheduleRetry("lease creation", cause.getMessage());
                    }
                });
    }

    private void register() {
        mIsCalling = true;
        OwnershipView.DaemonRecord sent = mSelf;
        String key = JobKeys.DAEMON_PREFIX + sent.name();
        Commit commit =
                new Commit(
                        List.of(new Condition(key, mVersion)),
                        List.of(new Write(key, RecordCodec.encode(sent), mId)),
                        List.of());
        mExecutor.onComplete(
                mStore.commit(commit),
                (result, cause) -> {
                    mIsCalling = false;
                    switch (result.outcome()) {
                        case DONE -> onRegistered(sent, result.revision());
                        case CONFLICT -> {
                            mVersion = result.currentOf(key).version();
                            mNextCallNanos = mExecutor.nanoTime();
                        }
                        case NO_SUCH_LEASE -> onLost();
                        default -> scheduleRetry("registration", result.outcome().name());
                    }
                });
    }

    private void onRegistered(OwnershipView.DaemonRecord registered, long version) {
        LOGGER.log(
                Level.INFO,
                "shard: daemon registered name={0} stopping={1} version={2}",
                registered.name(),
                registered.isStopping(),
                Long.toString(version));
        mVersion = version;
        mIsRegistered = registered.equals(mSelf);
        mRegisteredNanos = mExecutor.nanoTime();
        mNextCallNanos = mRegisteredNanos + (mIsRegistered ? RENEW_INTERVAL_NANOS : 0);
    }

    private void renew() {
        mIsCalling = true;
        long sentNanos = mExecutor.nanoTime();
        long sentMillis = mExecutor.currentTimeMillis();
        mExecutor.onComplete(
                mStore.renewLease(mId),
                (exists, cause) -> {
                    mIsCalling = false;
                    if (cause != null) {
                        scheduleRetry("lease renewal", cause.getMessage());
                    } else if (exists) {
                        onRenewed(sentNanos, sentMillis);
                        mNextCallNanos =
                                mExecutor.nanoTime() + (mIsRegistered ? RENEW_INTERVAL_NANOS : 0);
                    } else {
                        onLost();
                    }
                });
    }

    private void onRenewed(long sentNanos, long sentMillis) {
        mRenewedNanos = sentNanos;
        mRenewedMillis = sentMillis;
    }

    private void scheduleRetry(String what, String reason) {
        LOGGER.log(Level.INFO, "shard: {0} failed reason={1}", what, reason);
        mHasFailed = true;
        mFailedNanos = mExecutor.nanoTime();
        mFailedMillis = mExecutor.currentTimeMillis();
        mNextCallNanos = mExecutor.nanoTime() + RENEW_INTERVAL_NANOS / 2;
    }

    /** Called when the store has answered that the lease does not exist. */
    void onLost() {
        LOGGER.log(Level.WARNING, "shard: daemon lease lost lease={0}", Long.toString(mId));
        mId = SharedStore.NO_LEASE;
        mIsRegistered = false;
        mNextCallNanos = mExecutor.nanoTime();
        mOnLost.run();
    }
}
