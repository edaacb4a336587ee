package org.endivetray.policy.job.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.endivetray.job.Resources;

/**
 * Decides what each pool holds of an account's cap.
 *
 * <p>While there is enough, a pool holds what it needs and a headroom, so that its starts wait for
 * no grant. Otherwise room is allocated by max-min fairness in whole units, since less than a unit
 * starts no task; pools that got none take turns.
 *
 * <p>Invariants: a proposed share raises the sum of the grants above the cap only by what the pool
 * uses already; no share is below what the pool uses.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class QuotaPolicy {
    /** Headroom as a fraction of the need: one more task for every two. */
    private static final int HEADROOM_OF_NEED = 2;

    /** Smallest headroom, as a fraction of the cap. */
    private static final int HEADROOM_OF_CAP = 64;

    /** Rounds in which all of a cap is allocated, which bounds the work of an allocation. */
    private static final int MAX_ROUNDS = 64;

    /** Fall of the demand that is worth a write while there is too little, as a fraction. */
    private static final int FALL_OF_WANTED = 8;

    private QuotaPolicy() {}

    /**
     * Returns up to what the tasks of an account may take in a pool. Nothing may be started while
     * the grants exceed the cap, since runs that take them may go on.
     *
     * @param cap what the account may take in all pools, not null
     * @param ledger the shares of the pools, not null
     * @param pool the pool, not null
     */
    public static Resources limit(Resources cap, QuotaLedger ledger, String pool) {
        if (!isWithin(cap, ledger)) {
            return Resources.NONE;
        }
        Resources granted = ledger.share(pool).granted().limitedBy(cap);
        return isTight(cap, ledger) ? granted.min(allocation(cap, ledger, pool)) : granted;
    }

    /** Returns what a task counts for at most: one larger than the cap needs all of it. */
    public static Resources need(Resources cap, Resources task) {
        return task.limitedBy(cap).min(cap);
    }

    /**
     * Returns the share that the owner of a pool should hold.
     *
     * @param cap what the account may take in all pools, not null
     * @param ledger the shares of the pools, not null
     * @param pool the pool, not null
     * @param demand what the owner knows of the account's tasks, not null
     * @param version version of the ledger's record
     */
    public static QuotaShare next(
            Resources cap, QuotaLedger ledger, String pool, QuotaDemand demand, long version) {
        QuotaShare own = ledger.share(pool);
        Resources used = demand.used().limitedBy(cap);
        Resources granted = own.granted().limitedBy(cap);
        Resources wanted = used.max(used.plus(demand.waiting().limitedBy(cap)).min(cap));
        Resources unit = need(cap, demand.unit());
        boolean isNew = own.wanted().equals(Resources.NONE);
        QuotaShare asking = new QuotaShare(granted, wanted, unit, isNew ? version : own.since());
        QuotaLedger asked = ledger.with(pool, asking);
        if (demand.isTurnOver() && hasStarved(cap, asked, pool)) {
            asking = new QuotaShare(granted, wanted, unit, version);
            asked = ledger.with(pool, asking);
        }
        Resources free = cap.minus(asked.granted().limitedBy(cap));
        Resources target;
        if (!isWithin(cap, asked)) {
            target = Resources.NONE;
        } else if (isTight(cap, ledger.with(pool, asking.withGranted(wanted.max(granted))))
                || !granted.plus(free).covers(wanted)) {
            target = allocation(cap, asked, pool).min(granted.plus(free));
        } else {
            target = ample(cap, wanted, granted, free, demand.isIdle());
        }
        Resources least = demand.isSettled() ? used : used.max(granted);
        return asking.withGranted(target.max(least));
    }

    private static Resources ample(
            Resources cap, Resources wanted, Resources granted, Resources free, boolean isIdle) {
        if (wanted.equals(Resources.NONE)) {
            return isIdle ? Resources.NONE : granted;
        }
        Resources headroom = wanted.dividedBy(HEADROOM_OF_NEED).max(cap.dividedBy(HEADROOM_OF_CAP));
        Resources target = wanted.plus(headroom).min(granted.plus(free));
        boolean isLow = !granted.covers(wanted.plus(headroom.dividedBy(2)).min(target));
        if (isLow) {
            return granted.max(target);
        }
        return isIdle ? granted.min(target) : granted;
    }

    /**
     * Returns whether a pool needs much less than it holds.
     *
     * @param cap what the account may take in all pools, not null
     * @param granted what the pool holds, not null
     * @param needed what its tasks take and would take, not null
     */
    public static boolean isExcessive(Resources cap, Resources granted, Resources needed) {
        Resources headroom = needed.dividedBy(HEADROOM_OF_NEED);
        Resources kept = needed.equals(Resources.NONE) ? Resources.NONE : cap.dividedBy(16);
        Resources most = needed.plus(headroom).plus(headroom).max(kept).limitedBy(cap);
        return !most.covers(granted.limitedBy(cap));
    }

    /**
     * Returns whether a share should be stored in place of the present one.
     *
     * @param cap what the account may take in all pools, not null
     * @param ledger the shares of the pools, not null
     * @param pool the pool, not null
     * @param next the share that its owner should hold, not null
     */
    public static boolean isWorthStoring(
            Resources cap, QuotaLedger ledger, String pool, QuotaShare next) {
        QuotaShare own = ledger.share(pool);
        if (!next.granted().equals(own.granted())) {
            return true;
        }
        QuotaLedger changed = ledger.with(pool, next);
        if (!isTight(cap, changed) && !isTight(cap, ledger)) {
            return false;
        }
        boolean asksMore = next.isShort() && !own.wanted().covers(next.wanted());
        Resources fall = own.wanted().minus(own.wanted().dividedBy(FALL_OF_WANTED));
        boolean asksLess = !own.wanted().equals(next.wanted()) && !next.wanted().covers(fall);
        boolean movesBehind = next.since() != own.since() && next.isShort();
        boolean asksOther = next.isShort() && !own.unit().equals(next.unit());
        return asksMore || asksLess || movesBehind || asksOther;
    }

    /** Returns whether a pool lacks room, or the pools hold more than the cap. */
    public static boolean isShort(Resources cap, QuotaLedger ledger) {
        return !isWithin(cap, ledger) || isTight(cap, ledger);
    }

    private static boolean isWithin(Resources cap, QuotaLedger ledger) {
        return cap.covers(ledger.granted().limitedBy(cap));
    }

    /** Returns whether pools want more than there is, or one waits for what others hold. */
    private static boolean isTight(Resources cap, QuotaLedger ledger) {
        return !cap.covers(ledger.wanted().limitedBy(cap))
                || ledger.shares().values().stream().anyMatch(QuotaShare::isShort);
    }

    /** Returns whether another pool wants room and is allocated none. */
    private static boolean hasStarved(Resources cap, QuotaLedger ledger, String pool) {
        Map<String, Resources> allocations = allocate(cap, ledger);
        return ledger.shares().entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(pool)
                                        && entry.getValue().isShort()
                                        && allocations
                                                .getOrDefault(entry.getKey(), Resources.NONE)
                                                .equals(Resources.NONE));
    }

    private static Resources allocation(Resources cap, QuotaLedger ledger, String pool) {
        return allocate(cap, ledger).getOrDefault(pool, Resources.NONE);
    }

    /**
     * Returns what each pool would hold under max-min fairness in whole units.
     *
     * @param cap what the account may take in all pools, not null
     * @param ledger the shares of the pools, not null
     */
    public static Map<String, Resources> allocate(Resources cap, QuotaLedger ledger) {
        Map<String, Resources> allocations = new HashMap<>();
        PriorityQueue<Claim> claims =
                new PriorityQueue<>(
                        Comparator.comparingDouble((Claim claim) -> claim.fraction(cap))
                                .thenComparingLong(claim -> claim.share().since())
                                .thenComparing(Claim::pool));
        ledger.shares()
                .forEach((pool, share) -> claims.add(new Claim(pool, share, Resources.NONE)));
        Resources free = cap;
        while (!claims.isEmpty()) {
            Claim claim = claims.poll();
            Resources rest = claim.share().wanted().limitedBy(cap).minus(claim.allocated());
            Resources unit = need(cap, claim.share().unit());
            Resources portion = rest.min(portion(cap, unit));
            Resources given = free.covers(portion) ? portion : rest.min(unit);
            if (given.equals(Resources.NONE) || !free.covers(given)) {
                continue;
            }
            free = free.minus(given);
            Claim more = new Claim(claim.pool(), claim.share(), claim.allocated().plus(given));
            allocations.put(more.pool(), more.allocated());
            claims.add(more);
        }
        return allocations;
    }

    /** Returns the whole units that are allocated at once. */
    private static Resources portion(Resources cap, Resources unit) {
        Resources least = cap.dividedBy(MAX_ROUNDS);
        if (unit.equals(Resources.NONE)) {
            return least;
        }
        long units = Long.MAX_VALUE;
        units = unit.cpuMillis() > 0 ? least.cpuMillis() / unit.cpuMillis() : units;
        units = unit.memoryMb() > 0 ? Math.min(units, least.memoryMb() / unit.memoryMb()) : units;
        units = unit.gpus() > 0 ? Math.min(units, least.gpus() / unit.gpus()) : units;
        return unit.times(Math.max(1, units));
    }

    /** What a pool has been allocated so far. */
    private record Claim(String pool, QuotaShare share, Resources allocated) {
        /** Returns the largest part of the cap that is allocated of any resource. */
        double fraction(Resources cap) {
            return Math.max(
                    fraction(allocated.cpuMillis(), cap.cpuMillis()),
                    Math.max(
                            fraction(allocated.memoryMb(), cap.memoryMb()),
                            fraction(allocated.gpus(), cap.gpus())));
        }

        private static double fraction(long amount, long cap) {
            return cap == 0 ? 0 : amount / (double) cap;
        }
    }
}
