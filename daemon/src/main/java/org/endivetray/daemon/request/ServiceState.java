package org.endivetray.daemon.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.ServiceDeclaration;
import org.endivetray.policy.RetryBudget;
import org.endivetray.policy.WaitQueue;
import org.endivetray.wire.gen.SlotCell;
import org.endivetray.wire.gen.SlotGrant;
import org.endivetray.wire.gen.SlotReport;

/**
 * The router's view of one service.
 *
 * <p>Invariants: a minion with requests in flight is kept until they end, even if it is no longer
 * in the host list.
 *
 * <p>This class is not thread-safe; it is confined to the router's thread.
 */
final class ServiceState {
    private static final double MEAN_WEIGHT = 0.1;

    /**
     * Factor by which the wall clock, in milliseconds, gives the lowest next sequence number of a
     * report, so that the numbers rise over restarts as well.
     */
    private static final long REPORT_SEQS_PER_MILLI = 1_000;

    private final WaitQueue<RoutedRequest> mQueue;
    private final Map<String, MinionState> mMinions = new HashMap<>();
    private final Set<RoutedRequest> mSentRequests = new HashSet<>();
    private final RetryBudget mRetryBudget = new RetryBudget();
    private ServiceDeclaration mDeclaration;
    private double mMeanResponseNanos;
    private String mOwner = "";
    private long mAppliedSeq;
    private long mReportSeq;
    private long mLimitsExpiryNanos;
    private long mLastReportNanos;
    private boolean mReporting;
    private boolean mReportDue;
    private boolean mContended;

    ServiceState(ServiceDeclaration declaration, int maxQueuedPerService, int maxQueuedPerMember) {
        mDeclaration = declaration;
        mQueue = new WaitQueue<>(maxQueuedPerService, maxQueuedPerMember);
    }

    ServiceDeclaration declaration() {
        return mDeclaration;
    }

    void setDeclaration(ServiceDeclaration declaration) {
        mDeclaration = declaration;
    }

    WaitQueue<RoutedRequest> queue() {
        return mQueue;
    }

    RetryBudget retryBudget() {
        return mRetryBudget;
    }

    Map<String, MinionState> minions() {
        return mMinions;
    }

    /** Returns the minions that accept new work. */
    Collection<MinionState> usableMinions() {
        List<MinionState> usable = new ArrayList<>(mMinions.size());
        for (MinionState minion : mMinions.values()) {
            if (minion.acceptsNewWork()) {
                usable.add(minion);
            }
        }
        return usable;
    }

    /** Returns the number of slots that this daemon may use at the usable minions. */
    int slots() {
        return usableMinions().stream().mapToInt(MinionState::limit).sum();
    }

    /** Returns the number of requests in flight at all minions. */
    int inFlight() {
        return mMinions.values().stream().mapToInt(MinionState::inFlight).sum();
    }

    /** Returns the moving average of the time from sending to response, 0 if unknown. */
    double meanResponseNanos() {
        return mMeanResponseNanos;
    }

    void onAnswered(long nanos) {
        mMeanResponseNanos =
                mMeanResponseNanos == 0
                        ? nanos
                        : mMeanResponseNanos + MEAN_WEIGHT * (nanos - mMeanResponseNanos);
        mRetryBudget.onSuccess();
    }

    /** Returns the requests that are in flight at minions. */
    Set<RoutedRequest> sentRequests() {
        return mSentRequests;
    }

    /**
     * Returns whether the minion of a request in flight seems to have stalled.
     *
     * <p>That is the case if it has answered nothing since the request was sent, although another
     * minion has answered a request that was sent later.
     */
    boolean hasStalled(RoutedRequest request) {
        MinionState minion = request.lastMinion();
        if (!minion.isSilentSince(request.sentNanos())) {
            return false;
        }
        return mMinions.values().stream()
                .filter(other -> other != minion)
                .anyMatch(other -> other.hasAnsweredRequestSentAfter(request.sentNanos()));
    }

    /** Returns whether the queue and the retry budget allow a retry now. */
    boolean canRetry() {
        return mQueue.size() <= slots() && mRetryBudget.balance() >= 1;
    }

    /** Returns whether one more minion may be ejected; at least half of them stay in routing. */
    boolean mayEject() {
        long ejected =
                usableMinions().stream().filter(minion -> minion.health().isEjected()).count();
        return (ejected + 1) * 2 <= usableMinions().size();
    }

    // Slot reports and grants.

    boolean isReporting() {
        return mReporting;
    }

    boolean isReportDue() {
        return mReportDue;
    }

    /**
     * Returns whether this daemon has free slots that it does not need while requests wait at other
     * daemons.
     */
    boolean holdsContendedSlots() {
        return mContended && mQueue.size() == 0 && slots() > inFlight();
    }

    void setReportDue() {
        mReportDue = true;
    }

    long lastReportNanos() {
        return mLastReportNanos;
    }

    /** Begins a report; for a new owner, no grant counts as applied, because it has sent none. */
    SlotReport beginReport(String name, String owner, long nowNanos) {
        if (!owner.equals(mOwner)) {
            mOwner = owner;
            mAppliedSeq = 0;
        }
        mReporting = true;
        mReportDue = false;
        mLastReportNanos = nowNanos;
        return newReport(name);
    }

    void endReport() {
        mReporting = false;
    }

    SlotReport newReport(String name) {
        List<SlotCell> cells = new ArrayList<>(mMinions.size());
        for (MinionState minion : mMinions.values()) {
            if (minion.limit() > 0 || minion.inFlight() > 0) {
                cells.add(
                        new SlotCell(
                                minion.endpoint().address(), minion.limit(), minion.inFlight()));
            }
        }
        mReportSeq = Math.max(mReportSeq + 1, System.currentTimeMillis() * REPORT_SEQS_PER_MILLI);
        return new SlotReport(name, mQueue.size(), mAppliedSeq, cells, mReportSeq);
    }

    /** Applies a grant unless it comes from another owner or is older than the last one applied. */
    boolean applyGrant(SlotGrant grant) {
        if (!grant.getOwner().equals(mOwner) || grant.getSeq() < mAppliedSeq) {
            return false;
        }
        mAppliedSeq = grant.getSeq();
        mContended = grant.isContended();
        for (MinionState minion : mMinions.values()) {
            minion.setLimit(grant.getLimits().getOrDefault(minion.endpoint().address(), 0));
        }
        return true;
    }

    /** Sets a fixed share of each minion as the limit and ignores grants until the next report. */
    void useIsolatedShare(int share, long untilNanos) {
        mOwner = "";
        mAppliedSeq = 0;
        mLimitsExpiryNanos = untilNanos;
        mMinions.values().forEach(minion -> minion.setLimit(share));
    }

    void setLimitsExpiry(long nanos) {
        mLimitsExpiryNanos = nanos;
    }

    /** Sets all limits to 0 if the last grant has expired. */
    void expireLimits(long nowNanos) {
        if (nowNanos - mLimitsExpiryNanos > 0) {
            mMinions.values().forEach(minion -> minion.setLimit(0));
        }
    }
}
