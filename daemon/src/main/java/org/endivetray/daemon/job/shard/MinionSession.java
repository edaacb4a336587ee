package org.endivetray.daemon.job.shard;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.StepSpec;
import org.endivetray.platform.MinionOrders;

/**
 * What the owner of a shard believes of one minion: its clock, its lease, its room and its tasks.
 *
 * <p>Invariants: the room in use is the sum of the needs of its tasks; the lease's latest end is
 * never earlier than the minion's own.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionSession {
    /** Share by which a minion's steady clock may be slow. From the platform's rules. */
    private static final double CLOCK_DRIFT = 0.02;

    /** Time without a word after which a minion may have ended and started again. */
    private static final long SAME_INCARNATION_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Added to the latest end of a lease for the way of an order. One slow round trip. */
    private static final long LEASE_MARGIN_MILLIS = 100;

    private final Map<String, TaskEntry> mTasks = new LinkedHashMap<>();
    private MinionInfo mInfo;
    private long mBornMillis;
    private long mClockMillis;
    private long mClockNanos;
    private boolean mHasClock;
    private long mLapseNanos;
    private int mCpuMillis;
    private int mMemoryMb;
    private int mGpus;
    boolean mIsRegistered = true;
    long mUnregisteredNanos;
    boolean mIsListing;
    boolean mIsResponding;
    boolean mHasResponded;
    boolean mIsRecorded;
    long mUnresponsiveSinceNanos;
    long mNextListingNanos;
    long mLastProcessedEnd;
    long mLastStoredEnd;
    long mNoRoomUntilNanos;
    long mQuarantinedUntilNanos;
    long mDrainUntilNanos;
    boolean mIsDrainUrgent;
    int mConsecutiveFailures;
    int mStartsInFlight;

    MinionSession(MinionInfo info) {
        mInfo = info;
    }

    String id() {
        return mInfo.id();
    }

    MinionInfo info() {
        return mInfo;
    }

    void updateInfo(MinionInfo info) {
        mInfo = info;
    }

    Map<String, TaskEntry> tasks() {
        return mTasks;
    }

    /** Returns whether nothing runs there, as far as the minion itself has told. */
    boolean isKnownEmpty() {
        return mHasResponded && mTasks.isEmpty();
    }

    /** Returns whether tasks may be started there now. */
    boolean isSchedulable(long nowNanos) {
        return mIsResponding
                && mIsRegistered
                && mIsRecorded
                && !mInfo.draining()
                && !isDrainRequested(nowNanos)
                && nowNanos - mQuarantinedUntilNanos >= 0
                && nowNanos - mNoRoomUntilNanos >= 0;
    }

    /** Returns whether it is to be emptied for a planned outage. */
    boolean isDrainRequested(long nowNanos) {
        return nowNanos - mDrainUntilNanos < 0;
    }

    /** Returns whether a step's task fits into the free room. */
    boolean fits(StepSpec spec) {
        return mCpuMillis + spec.reservedCpuMillis() <= mInfo.cpuMillis()
                && mMemoryMb + spec.memoryMb() <= mInfo.memoryMb()
                && mGpus + spec.gpus() <= mInfo.gpus();
    }

    int freeCpuMillis() {
        return mInfo.cpuMillis() - mCpuMillis;
    }

    int usedCpuMillis() {
        return mCpuMillis;
    }

    void assign(TaskEntry task) {
        StepSpec spec = task.mStep.mSpec;
        mTasks.put(task.mName, task);
        mCpuMillis += spec.reservedCpuMillis();
        mMemoryMb += spec.memoryMb();
        mGpus += spec.gpus();
        task.mMinion = this;
        task.mStep.mCountPerMinion.merge(id(), 1, Integer::sum);
    }

    void release(TaskEntry task) {
        StepSpec spec = task.mStep.mSpec;
        mTasks.remove(task.mName);
        mCpuMillis -= spec.reservedCpuMillis();
        mMemoryMb -= spec.memoryMb();
        mGpus -= spec.gpus();
        task.mMinion = null;
        task.mStep.mCountPerMinion.merge(id(), -1, Integer::sum);
    }

    /**
     * Takes note of the minion's clock.
     *
     * @param clockMillis its clock when it answered, in milliseconds
     * @param nowNanos this process's steady clock
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

    /** Returns the minion's clock as of now, in milliseconds. */
    long clockMillis(long nowNanos) {
        return mClockMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - mClockNanos);
    }

    /**
     * Returns the end of a lease that starts now, on the minion's clock, and notes it.
     *
     * @param lengthMillis length of the lease, in milliseconds
     * @param nowNanos this process's steady clock
     */
    long extendLease(long lengthMillis, long nowNanos) {
        if (!mHasClock) {
            return 0;
        }
        long end = clockMillis(nowNanos) + lengthMillis;
        long elapsed = end - mClockMillis;
        long bound = Math.round(elapsed * (1 + CLOCK_DRIFT)) + LEASE_MARGIN_MILLIS;
        long lapse = mClockNanos + TimeUnit.MILLISECONDS.toNanos(bound);
        if (mLapseNanos == 0 || lapse - mLapseNanos > 0) {
            mLapseNanos = lapse;
        }
        return end;
    }

    /** Returns whether nothing of what was started there can still run. */
    boolean isLeaseExpired(long nowNanos) {
        return mLapseNanos == 0 || nowNanos - mLapseNanos >= 0;
    }

    /** Returns the start of the incarnation that was heard last, in milliseconds since 1970. */
    long incarnationMillis() {
        return mBornMillis;
    }

    /**
     * Notes that what ends changed is stored.
     *
     * @param upTo number of the last of the ends
     * @param bornMillis the incarnation that listed them; a later one counts from 1 again
     */
    void onEndsStored(long upTo, long bornMillis) {
        if (bornMillis == mBornMillis) {
            mLastStoredEnd = Math.max(mLastStoredEnd, upTo);
        }
    }

    /** Returns whether a registration is of a later incarnation than the one that was heard. */
    boolean isLaterIncarnation(MinionInfo info) {
        return mBornMillis != 0 && info.bornMillis() > mBornMillis;
    }

    /**
     * Notes the minion's incarnation.
     *
     * @param bornMillis its start, in milliseconds since 1970, 0 if not told
     * @return whether it is another incarnation than before
     */
    boolean onIncarnation(long bornMillis) {
        boolean isReborn = mBornMillis != 0 && bornMillis != 0 && bornMillis != mBornMillis;
        if (bornMillis != 0) {
            mBornMillis = bornMillis;
        }
        if (isReborn) {
            mLastProcessedEnd = 0;
            mLastStoredEnd = 0;
        }
        return isReborn;
    }

    /**
     * Returns the listing order, which extends the lease of a minion that answers.
     *
     * <p>The lease of a silent minion is left to end: an order without an answer may have been
     * carried out, so that nothing of the minion could ever be started elsewhere. Nor does such an
     * order say which ends were seen: it may reach a new incarnation, whose ends begin at 1 again.
     */
    MinionOrders.LeaseOrder listingOrder(
            long leaseMillis, int waitMillis, long token, long nowNanos) {
        long leaseEnd = mIsResponding ? extendLease(leaseMillis, nowNanos) : 0;
        boolean isRecent = mIsResponding && nowNanos - mClockNanos < SAME_INCARNATION_NANOS;
        long lastSeen = isRecent ? mLastStoredEnd : 0;
        return new MinionOrders.LeaseOrder(leaseEnd, lastSeen, waitMillis, token);
    }
}
