package org.endivetray.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Allocates the slots of one service's minions to daemons.
 *
 * <p>Each daemon reports how many requests wait for a slot, and its limit and its requests in
 * flight for each minion. While no request waits, free slots are granted evenly so that a request
 * finds one without a message to the owner. When requests wait at a daemon, unused slots of other
 * daemons are reclaimed and granted to it; if all slots are in use, the daemons converge on a
 * max-min fair share of the demand.
 *
 * <p>A lowered limit stays committed until its daemon reports that it has applied the lower one.
 * The slots of a daemon that has not reported for the time to live are released.
 *
 * <p>Invariants: a grant never raises the committed slots of a minion above its capacity. They
 * exceed it only after the capacity was lowered, until the daemons comply, or by slots that a
 * daemon held already when its reports began.
 *
 * <p>This class is not thread-safe; the slot owner's thread owns it.
 */
public final class SlotAllocator {
    private final long mTtlNanos;
    private final Map<String, Integer> mCapacity = new TreeMap<>();
    private final Map<String, Holder> mHolders = new TreeMap<>();
    private final long mCreatedNanos;
    private Set<String> mAwaitingReport = new HashSet<>();

    /**
     * Constructs an allocator that raises no limit until it knows what each expected daemon holds,
     * or until the time to live has passed.
     *
     * @param ttlNanos time after which the slots of a daemon that does not report are released, in
     *     nanoseconds
     * @param expected daemons that may hold slots already, not null
     * @param nowNanos time on the monotonic clock, in nanoseconds
     */
    public SlotAllocator(long ttlNanos, Collection<String> expected, long nowNanos) {
        mTtlNanos = ttlNanos;
        mCreatedNanos = nowNanos;
        mAwaitingReport.addAll(expected);
    }

    /**
     * Replaces the minions and their capacities. The grants change with the next report.
     *
     * @param capacity slots of each minion that accepts work, by address, not null
     */
    public void setCapacity(Map<String, Integer> capacity) {
        mCapacity.clear();
        mCapacity.putAll(capacity);
    }

    /**
     * Applies a daemon's report and reallocates the slots. A report that arrives out of order is
     * ignored.
     *
     * @param daemon the reporting daemon's name, not null
     * @param waiting number of requests that wait for a slot at the daemon, 0 or more
     * @param usages the daemon's limit and requests in flight for each minion, by address, not null
     * @param reportSeq sequence number that rises with each report of the daemon, across restarts
     *     too
     * @param appliedSeq sequence number of the last grant that the daemon has applied
     * @param nowNanos time on the monotonic clock, in nanoseconds
     * @return names of the other daemons whose limits changed
     */
    public Set<String> onReport(
            String daemon,
            int waiting,
            Map<String, SlotUsage> usages,
            long reportSeq,
            long appliedSeq,
            long nowNanos) {
        expire(nowNanos);
        mAwaitingReport.remove(daemon);
        Holder holder = mHolders.computeIfAbsent(daemon, name -> new Holder());
        if (reportSeq <= holder.mReportSeq) {
            return Set.of();
        }
        holder.mReportSeq = reportSeq;
        holder.applyReport(waiting, usages, appliedSeq, nowNanos);
        Set<String> changed = rebalance(nowNanos);
        changed.remove(daemon);
        return changed;
    }

    /**
     * Returns the limits granted to the daemon, by minion address; empty if the daemon is unknown.
     */
    public Map<String, Integer> limitsOf(String daemon) {
        Holder holder = mHolders.get(daemon);
        return holder == null ? Map.of() : Map.copyOf(holder.mGranted);
    }

    /** Returns the sequence number of the daemon's last grant, 0 if the daemon is unknown. */
    public long grantSeqOf(String daemon) {
        Holder holder = mHolders.get(daemon);
        return holder == null ? 0 : holder.mGrantSeq;
    }

    /**
     * Returns the number of the minion's slots that are granted to a daemon or may still be in use.
     */
    public int committed(String minion) {
        return mHolders.values().stream().mapToInt(holder -> holder.committed(minion)).sum();
    }

    /** Returns whether requests wait for a slot at any daemon. */
    public boolean isContended() {
        return mHolders.values().stream().anyMatch(holder -> holder.mWaiting > 0);
    }

    /** Releases the slots of daemons that have not reported for the time to live. */
    public void expire(long nowNanos) {
        mHolders.values().removeIf(holder -> nowNanos - holder.mReportedNanos > mTtlNanos);
    }

    private boolean mayRaiseGrants(long nowNanos) {
        return mAwaitingReport.isEmpty() || nowNanos - mCreatedNanos > mTtlNanos;
    }

    private Set<String> rebalance(long nowNanos) {
        Map<String, Map<String, Integer>> before = new HashMap<>();
        mHolders.forEach((name, holder) -> before.put(name, Map.copyOf(holder.mGranted)));
        dropRemovedMinions();
        mCapacity.forEach(this::lowerToCapacity);
        Map<String, Integer> targets = targets();
        if (isContended()) {
            mHolders.forEach((name, holder) -> holder.lowerTo(targets.get(name)));
        }
        if (mayRaiseGrants(nowNanos)) {
            raiseGrants(targets);
        }
        Set<String> changed = new HashSet<>();
        mHolders.forEach(
                (name, holder) -> {
                    if (!holder.mGranted.equals(before.get(name))) {
                        holder.recordGrant();
                        changed.add(name);
                    }
                });
        return changed;
    }

    private void dropRemovedMinions() {
        for (Holder holder : mHolders.values()) {
            holder.mGranted.keySet().retainAll(mCapacity.keySet());
        }
    }

    private int granted(String minion) {
        return mHolders.values().stream()
                .mapToInt(holder -> holder.mGranted.getOrDefault(minion, 0))
                .sum();
    }

    /** Lowers the grants of a minion to its capacity, idle slots first. */
    private void lowerToCapacity(String minion, int slots) {
        int granted = granted(minion);
        int surplus = granted - slots;
        for (Holder holder : mHolders.values()) {
            surplus -= holder.lowerMinion(minion, surplus, true);
        }
        for (Holder holder : mHolders.values()) {
            surplus -= holder.lowerMinion(minion, surplus, false);
        }
    }

    private Map<String, Integer> targets() {
        int total = mCapacity.values().stream().mapToInt(Integer::intValue).sum();
        Map<String, Integer> demand = new TreeMap<>();
        mHolders.forEach((name, holder) -> demand.put(name, holder.demand()));
        return MaxMinShare.divide(total, demand);
    }

    private void raiseGrants(Map<String, Integer> targets) {
        Map<String, Headroom> headrooms = new TreeMap<>();
        mCapacity.forEach(
                (minion, slots) ->
                        headrooms.put(
                                minion,
                                new Headroom(slots - committed(minion), slots - granted(minion))));
        List<String> byNeed = new ArrayList<>(mHolders.keySet());
        byNeed.sort(
                Comparator.comparingInt(
                        name -> mHolders.get(name).grantedTotal() - targets.get(name)));
        boolean raised = true;
        while (raised) {
            raised = false;
            for (String name : byNeed) {
                raised |= mHolders.get(name).raiseByOne(targets.get(name), headrooms);
            }
        }
    }

    /**
     * A daemon's limit and requests in flight for one minion.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param limit highest number of requests in flight that the daemon allows itself
     * @param inFlight number of requests in flight
     */
    public record SlotUsage(int limit, int inFlight) {
        /** Returns the number of slots that the daemon may be using. */
        public int held() {
            return Math.max(limit, inFlight);
        }
    }

    /** A grant that its daemon has not reported as applied. */
    private record SentGrant(long seq, Map<String, Integer> limits) {}

    /** The state of one daemon. */
    private static final class Holder {
        private final Map<String, Integer> mGranted = new TreeMap<>();
        private Map<String, SlotUsage> mUsages = Map.of();
        private int mWaiting;
        private long mReportedNanos;
        private long mReportSeq;
        private long mGrantSeq;
        private final Deque<SentGrant> mUnapplied = new ArrayDeque<>();
        private boolean mInitialized;

        void applyReport(
                int waiting, Map<String, SlotUsage> usages, long appliedSeq, long nowNanos) {
            mWaiting = waiting;
            mUsages = Map.copyOf(usages);
            mReportedNanos = nowNanos;
            mUnapplied.removeIf(grant -> grant.seq() <= appliedSeq);
            if (!mInitialized) {
                mInitialized = true;
                mGrantSeq = appliedSeq;
                usages.forEach((minion, usage) -> mGranted.put(minion, usage.limit()));
            }
        }

        /** Records a new grant, which the daemon may apply at any time from now on. */
        void recordGrant() {
            mGrantSeq++;
            mUnapplied.add(new SentGrant(mGrantSeq, Map.copyOf(mGranted)));
        }

        int demand() {
            return mWaiting + mUsages.values().stream().mapToInt(SlotUsage::inFlight).sum();
        }

        int committed(String minion) {
            SlotUsage usage = mUsages.get(minion);
            int most = usage == null ? 0 : usage.held();
            for (SentGrant grant : mUnapplied) {
                most = Math.max(most, grant.limits().getOrDefault(minion, 0));
            }
            return Math.max(most, mGranted.getOrDefault(minion, 0));
        }

        int grantedTotal() {
            return mGranted.values().stream().mapToInt(Integer::intValue).sum();
        }

        /** Lowers the grants to the target in total, idle slots first. */
        void lowerTo(int target) {
            int surplus = grantedTotal() - target;
            surplus = lowerIdle(surplus);
            lowerBusy(surplus);
        }

        /**
         * Takes idle slots from the minions with the largest grants, so that each minion keeps
         * some.
         */
        private int lowerIdle(int surplus) {
            int left = surplus;
            while (left > 0) {
                Map.Entry<String, Integer> largest = null;
                for (Map.Entry<String, Integer> entry : mGranted.entrySet()) {
                    boolean idle = entry.getValue() > inFlight(entry.getKey());
                    if (idle && (largest == null || entry.getValue() > largest.getValue())) {
                        largest = entry;
                    }
                }
                if (largest == null) {
                    return left;
                }
                largest.setValue(largest.getValue() - 1);
                left--;
            }
            return left;
        }

        private void lowerBusy(int surplus) {
            int left = surplus;
            for (Map.Entry<String, Integer> entry : mGranted.entrySet()) {
                int taken = Math.max(0, Math.min(left, entry.getValue()));
                entry.setValue(entry.getValue() - taken);
                left -= taken;
            }
        }

        /** Lowers the grant of one minion and returns by how many slots. */
        int lowerMinion(String minion, int surplus, boolean idleOnly) {
            int granted = mGranted.getOrDefault(minion, 0);
            int inUse = idleOnly ? Math.min(granted, inFlight(minion)) : 0;
            int taken = Math.max(0, Math.min(surplus, granted - inUse));
            if (taken > 0) {
                mGranted.put(minion, granted - taken);
            }
            return taken;
        }

        private int inFlight(String minion) {
            SlotUsage usage = mUsages.get(minion);
            return usage == null ? 0 : usage.inFlight();
        }

        /**
         * Raises the grant of one minion by one slot and returns whether it did. Prefers a minion
         * of which the daemon may already use more than its grant, else takes the one with the most
         * free slots.
         */
        boolean raiseByOne(int target, Map<String, Headroom> headrooms) {
            if (grantedTotal() >= target) {
                return false;
            }
            String best = null;
            for (Map.Entry<String, Headroom> minion : headrooms.entrySet()) {
                Headroom headroom = minion.getValue();
                if (headroom.mGrantable <= 0) {
                    continue;
                }
                if (isHeldAboveGrant(minion.getKey())) {
                    best = minion.getKey();
                    break;
                }
                boolean hasMostFree = best == null || headroom.mFree > headrooms.get(best).mFree;
                if (headroom.mFree > 0 && hasMostFree) {
                    best = minion.getKey();
                }
            }
            if (best == null) {
                return false;
            }
            int before = committed(best);
            mGranted.merge(best, 1, Integer::sum);
            headrooms.get(best).mFree -= committed(best) - before;
            headrooms.get(best).mGrantable--;
            return true;
        }

        /** Returns whether the daemon may be using more of the minion than it is granted. */
        private boolean isHeldAboveGrant(String minion) {
            return committed(minion) > mGranted.getOrDefault(minion, 0);
        }
    }

    /**
     * The slots of one minion that can still be granted: {@code mFree} counts those that no daemon
     * may be using, {@code mGrantable} those that are not granted.
     */
    private static final class Headroom {
        private int mFree;
        private int mGrantable;

        Headroom(int free, int grantable) {
            mFree = free;
            mGrantable = grantable;
        }
    }
}
