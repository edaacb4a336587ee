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
 * One service as the router sees it.
 *
 * <p>Invariants: a minion that has requests in flight stays here until they end, even when it left
 * the host list.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 */
final class ServiceState {
    private static final double MEAN_WEIGHT = 0.1;
    private static final long REPORTS_PER_MILLI = 1_000;

    private final WaitQueue<RoutedRequest> mQueue;
    private final Map<String, MinionState> mMinions = new HashMap<>();
    private final Set<RoutedRequest> mSent = new HashSet<>();
    private final RetryBudget mRetries = new RetryBudget();
    private ServiceDeclaration mDeclaration;
    private double mMeanNanos;
    private String mOwner = "";
    private long mAppliedSeq;
    private long mReportSeq;
    private long mLimitsUntilNanos;
    private long mReportedNanos;
    private boolean mReporting;
    private boolean mReportDue;
    private boolean mContended;

    ServiceState(ServiceDeclaration declaration, int maxService, int maxMember) {
        mDeclaration = declaration;
        mQueue = new WaitQueue<>(maxService, maxMember);
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
        return mRetries;
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

    int slots() {
        return usableMinions().stream().mapToInt(MinionState::limit).sum();
    }

    int inFlight() {
        return mMinions.values().stream().mapToInt(MinionState::inFlight).sum();
    }

    /** Returns the mean time from sending a request to its answer, 0 if unknown. */
    double meanResponseNanos() {
        return mMeanNanos;
    }

    void onAnswered(long nanos) {
        mMeanNanos = mMeanNanos == 0 ? nanos : mMeanNanos + MEAN_WEIGHT * (nanos - mMeanNanos);
        mRetries.onSuccess();
    }

    /** Returns the requests that are at minions. */
    Set<RoutedRequest> sentRequests() {
        return mSent;
    }

    /**
     * Returns whether the request's minion seems to have stalled.
     *
     * <p>It has, if it answered nothing since the request was sent although another minion has
     * answered a request that was sent later.
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

    /** Returns whether a retry would be granted now. */
    boolean canRetry() {
        return mQueue.size() <= slots() && mRetries.balance() >= 1;
    }

    /** Returns whether enough minions are in routing to leave one more out. */
    boolean mayEject() {
        long ejected =
                usableMinions().stream().filter(minion -> minion.health().isEjected()).count();
        return (ejected + 1) * 2 <= usableMinions().size();
    }

    // ---- slots

    boolean isReporting() {
        return mReporting;
    }

    boolean isReportDue() {
        return mReportDue;
    }

    /** Returns whether slots that are free here are wanted by another daemon. */
    boolean holdsContendedSlots() {
        return mContended && mQueue.size() == 0 && slots() > inFlight();
    }

    void setReportDue() {
        mReportDue = true;
    }

    long lastReportNanos() {
        return mReportedNanos;
    }

    /** Begins a report to the owner; a new owner knows none of this daemon's grants. */
    SlotReport beginReport(String name, String owner, long nowNanos) {
        if (!owner.equals(mOwner)) {
            mOwner = owner;
            mAppliedSeq = 0;
        }
        mReporting = true;
        mReportDue = false;
        mReportedNanos = nowNanos;
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
        mReportSeq = Math.max(mReportSeq + 1, System.currentTimeMillis() * REPORTS_PER_MILLI);
        return new SlotReport(name, mQueue.size(), mAppliedSeq, cells, mReportSeq);
    }

    /** Applies a grant unless it is from another owner or older than the last one. */
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

    /** Uses a fixed share of each minion, and obeys no owner until the next report. */
    void useIsolatedShare(int share, long untilNanos) {
        mOwner = "";
        mAppliedSeq = 0;
        mLimitsUntilNanos = untilNanos;
        mMinions.values().forEach(minion -> minion.setLimit(share));
    }

    void setLimitsExpiry(long nanos) {
        mLimitsUntilNanos = nanos;
    }

    /** Gives up all limits if the last grant has expired. */
    void expireLimits(long nowNanos) {
        if (nowNanos - mLimitsUntilNanos > 0) {
            mMinions.values().forEach(minion -> minion.setLimit(0));
        }
    }
}
