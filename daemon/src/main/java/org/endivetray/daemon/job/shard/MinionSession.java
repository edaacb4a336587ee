package org.endivetray.daemon.job.shard;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.MinionOrders;
import org.endivetray.policy.job.MinionHealth;

/**
 * The owner's view of one minion: its clock, its lease, its tasks and, in {@link MinionRoom}, its
 * resources.
 *
 * <p>Invariants: the resources of its tasks are reserved; the lease is never considered to have
 * expired before it has expired on the minion, whichever owner has extended it.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionSession {
    /** Highest share by which a minion's monotonic clock may be slow, as stated by the platform. */
    static final double CLOCK_DRIFT = 0.02;

    /** Time without an answer after which a minion may have ended and started again. */
    private static final long SAME_INCARNATION_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /**
     * Added to the latest end of a lease to cover the delivery of an order. This is one slow round
     * trip.
     */
    private static final long LEASE_MARGIN_MILLIS = 100;

    /** Time in which a minion answers once it no longer waits, several round trips. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Tokens of the orders to this minion. */
    final IncarnationFence mFence = new IncarnationFence();

    private final Map<String, TaskEntry> mTasks = new LinkedHashMap<>();
    private final MinionRoom mRoom;
    private MinionInfo mInfo;
    private long mIncarnationMillis;
    private long mClockMillis;
    private long mClockNanos;
    private boolean mHasClock;
    private long mLeaseExpiryNanos;
    private int mTaskChanges;

    boolean mIsRegistered = true;
    long mUnregisteredNanos;
    boolean mIsListing;
    private long mAnswerDueNanos;

    /** Whether the latest request for a listing was answered by the known incarnation. */
    boolean mIsResponding;

    /** Whether the minion has answered this owner at least once. */
    boolean mHasResponded;

    /** Whether the minion is in the stored list of minions that may hold runs. */
    boolean mIsRecorded;

    long mUnresponsiveSinceNanos;
    long mNextListingNanos;

    /** Number of the last end that was processed, 0 if there is none. */
    long mLastProcessedEnd;

    /** Number of the last end whose changes are stored, 0 if there is none. */
    long mLastStoredEnd;

    long mNoRoomUntilNanos;
    MinionHealth mHealth = MinionHealth.SOUND;

    /** Time of the first of the latest requests to drain the minion without a pause. */
    long mDrainSinceNanos;

    long mDrainUntilNanos;
    boolean mIsDrainUrgent;
    int mStartsInFlight;

    MinionSession(MinionInfo info) {
        mInfo = info;
        mRoom = new MinionRoom(info);
    }

    String id() {
        return mInfo.id();
    }

    MinionInfo info() {
        return mInfo;
    }

    void updateInfo(MinionInfo info) {
        mInfo = info;
        mRoom.updateInfo(info);
    }

    Map<String, TaskEntry> tasks() {
        return mTasks;
    }

    /** Returns its resources. */
    MinionRoom room() {
        return mRoom;
    }

    /** Records that a listing was requested for which the minion may wait before it answers. */
    void onListingRequested(int waitMillis, long nowNanos) {
        mIsListing = true;
        mAnswerDueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis) + ANSWER_NANOS;
    }

    /** Returns whether the minion has answered last and its next answer is not overdue. */
    boolean isAnswering(long nowNanos) {
        return mIsResponding && (!mIsListing || nowNanos - mAnswerDueNanos < 0);
    }

    /** Returns whether the minion has not responded for a time, in nanoseconds. */
    boolean isSilent(long nowNanos, long forNanos) {
        return !mIsResponding
                && mUnresponsiveSinceNanos != 0
                && nowNanos - mUnresponsiveSinceNanos >= forNanos;
    }

    /** Returns whether a run on the minion is being stopped. */
    boolean isStopping() {
        return mRoom.hasOrphans()
                || mTasks.values().stream().anyMatch(task -> task.mPhase == TaskPhase.STOPPING);
    }

    /** Returns whether the minion has answered and no task is assigned to it. */
    boolean isKnownEmpty() {
        return mHasResponded && mTasks.isEmpty() && !mRoom.hasOrphans();
    }

    /** Returns whether long-running tasks may be starting up on the minion. */
    boolean mayHaveTasksStartingUp(long nowNanos) {
        return mTasks.values().stream().anyMatch(task -> task.mayBeStartingUp(nowNanos));
    }

    /** Returns whether tasks may be started on the minion now. */
    boolean isSchedulable(long nowNanos) {
        return isAvailable(nowNanos) && !mHealth.isQuarantined(nowNanos);
    }

    /** Returns whether tasks that can run nowhere else may be started on the minion now. */
    boolean isAvailable(long nowNanos) {
        return mIsResponding
                && mIsRegistered
                && mIsRecorded
                && !mRoom.hasUnknownOrphan()
                && !mInfo.draining()
                && !isDrainRequested(nowNanos)
                && nowNanos - mNoRoomUntilNanos >= 0;
    }

    /** Returns whether a request to drain the minion is in force. */
    boolean isDrainRequested(long nowNanos) {
        return nowNanos - mDrainUntilNanos < 0;
    }

    /** Returns how often a task has been assigned to the minion or released. */
    int taskChanges() {
        return mTaskChanges;
    }

    /** Assigns a task to the minion and reserves its resources. */
    void assign(TaskEntry task) {
        mTaskChanges++;
        task.mStep.mPlaceChanges++;
        mTasks.put(task.mName, task);
        mRoom.reserve(task.mStep.mSpec);
        task.mMinion = this;
        task.mStep.mCountPerMinion.merge(id(), 1, Integer::sum);
        task.mStep.mOccurrence.mAssignedTasks++;
    }

    /** Removes a task from the minion and frees its resources. */
    void release(TaskEntry task) {
        mTaskChanges++;
        task.mStep.mPlaceChanges++;
        mTasks.remove(task.mName);
        mRoom.release(task.mStep.mSpec);
        task.onReleased();
        task.mStep.mCountPerMinion.merge(id(), -1, Integer::sum);
        task.mStep.mOccurrence.mAssignedTasks--;
    }

    /**
     * Records the time on the minion's clock.
     *
     * @param clockMillis its clock when it answered, in milliseconds
     * @param nowNanos this process's monotonic clock, in nanoseconds
     */
    void onClock(long clockMillis, long nowNanos) {
        mClockMillis = clockMillis;
        mClockNanos = nowNanos;
        mHasClock = true;
    }

    /** Returns whether the minion's clock is known. */
    boolean hasClock() {
        return mHasClock;
    }

    /** Returns the current time on the minion's clock as estimated here, in milliseconds. */
    long clockMillis(long nowNanos) {
        return mClockMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - mClockNanos);
    }

    /**
     * Extends the lease so that it lasts for a time from now.
     *
     * @param lengthMillis length of the lease, in milliseconds
     * @param nowNanos this process's monotonic clock, in nanoseconds
     * @return the end of the lease on the minion's clock, in milliseconds, 0 if its clock is not
     *     known
     */
    long extendLease(long lengthMillis, long nowNanos) {
        if (!mHasClock) {
            return 0;
        }
        long end = clockMillis(nowNanos) + lengthMillis;
        long elapsed = end - mClockMillis;
        long bound = Math.round(elapsed * (1 + CLOCK_DRIFT)) + LEASE_MARGIN_MILLIS;
        long expiry = mClockNanos + TimeUnit.MILLISECONDS.toNanos(bound);
        if (mLeaseExpiryNanos == 0 || expiry - mLeaseExpiryNanos > 0) {
            mLeaseExpiryNanos = expiry;
        }
        return end;
    }

    /**
     * Takes over a lease that an earlier owner may have extended.
     *
     * @param expiryNanos latest time of the monotonic clock at which it expires, in nanoseconds
     */
    void inheritLease(long expiryNanos) {
        mLeaseExpiryNanos = expiryNanos;
    }

    /**
     * Returns whether the lease has expired, so that nothing that was started on the minion can
     * still run.
     */
    boolean isLeaseExpired(long nowNanos) {
        return mLeaseExpiryNanos == 0 || nowNanos - mLeaseExpiryNanos >= 0;
    }

    /**
     * Returns the start of the incarnation that answered last, in milliseconds since 1970, 0 if not
     * known.
     */
    long incarnationMillis() {
        return mIncarnationMillis;
    }

    /**
     * Records that the changes caused by ends are stored, so that the ends can be acknowledged.
     *
     * @param upTo number of the last of the ends
     * @param incarnationMillis start of the incarnation that listed them, in milliseconds since
     *     1970; a later one numbers its ends from 1 again
     */
    void onEndsStored(long upTo, long incarnationMillis) {
        if (incarnationMillis == mIncarnationMillis) {
            mLastStoredEnd = Math.max(mLastStoredEnd, upTo);
        }
    }

    /** Returns whether a registration is of a later incarnation than the one that answered last. */
    boolean isLaterIncarnation(MinionInfo info) {
        return mIncarnationMillis != 0 && info.bornMillis() > mIncarnationMillis;
    }

    /**
     * Records the minion's incarnation.
     *
     * @param incarnationMillis its start, in milliseconds since 1970, 0 if not reported
     * @return whether it differs from the previous incarnation
     */
    boolean onIncarnation(long incarnationMillis) {
        boolean isNewIncarnation =
                mIncarnationMillis != 0
                        && incarnationMillis != 0
                        && incarnationMillis != mIncarnationMillis;
        if (incarnationMillis != 0) {
            mIncarnationMillis = incarnationMillis;
        }
        if (isNewIncarnation) {
            mLastProcessedEnd = 0;
            mLastStoredEnd = 0;
            mFence.onNewIncarnation(mFence.startToken());
        }
        return isNewIncarnation;
    }

    /**
     * Raises the token if the minion may have a new incarnation. This is done only before a listing
     * is requested, so that a listing is never overtaken by a higher token of its owner.
     *
     * @param revision the last revision that the store has confirmed to this owner
     */
    void raiseToken(long revision) {
        if (!mIsResponding || !mFence.isRaised()) {
            mFence.raise(revision);
        }
    }

    /**
     * Returns an order to renew the lease and to list runs. It extends the lease if the minion is
     * responding and the owner may act.
     *
     * <p>The lease of a minion that does not respond is left to expire. An order without an answer
     * may have been carried out, so repeated extensions would keep the minion's tasks from ever
     * being started elsewhere. An order that does not follow a recent answer acknowledges no ends,
     * since it may reach a new incarnation, which numbers its ends from 1 again.
     *
     * @param leaseMillis length of the lease, in milliseconds, 0 if it must not be extended
     * @param waitMillis time for which the minion may wait before it answers, in milliseconds
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    MinionOrders.LeaseOrder leaseOrder(long leaseMillis, int waitMillis, long nowNanos) {
        long leaseEnd = mIsResponding && leaseMillis > 0 ? extendLease(leaseMillis, nowNanos) : 0;
        boolean isRecent = mIsResponding && nowNanos - mClockNanos < SAME_INCARNATION_NANOS;
        long lastSeen = isRecent ? mLastStoredEnd : 0;
        return new MinionOrders.LeaseOrder(leaseEnd, lastSeen, waitMillis, mFence.token());
    }
}
