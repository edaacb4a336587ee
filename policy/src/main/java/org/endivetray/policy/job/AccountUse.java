package org.endivetray.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * What the client accounts use of a pool's processors, and the share of each.
 *
 * <p>The share of an account is the part of the capacity that its weight has in the weights of all
 * accounts that use the pool or wait for it. Long-running tasks are not part of it: neither their
 * use nor the capacity that they take.
 *
 * <p>Invariants: the shares of all active accounts sum to the capacity.
 *
 * <p>This class is not thread-safe.
 */
public final class AccountUse {
    /** Weight of an account for which none is configured. */
    private static final double DEFAULT_WEIGHT = 1;

    private final long mCapacityCpuMillis;
    private final Map<String, Account> mAccounts = new HashMap<>();
    private double mTotalWeight;

    /**
     * Constructs the use of a pool in which no account is active.
     *
     * @param capacityCpuMillis processors of the pool without those of long-running tasks, in
     *     thousandths of a core, 0 or more
     */
    public AccountUse(long capacityCpuMillis) {
        mCapacityCpuMillis = capacityCpuMillis;
    }

    /** Returns the capacity that is shared, in thousandths of a core. */
    public long capacityCpuMillis() {
        return mCapacityCpuMillis;
    }

    /**
     * Records that an account uses the pool or waits for it.
     *
     * @param name name of the account, not null
     * @param weight its weight, 0 if none is configured
     */
    public void activate(String name, double weight) {
        if (!mAccounts.containsKey(name)) {
            Account account = new Account(weight > 0 ? weight : DEFAULT_WEIGHT);
            mAccounts.put(name, account);
            mTotalWeight += account.mWeight;
        }
    }

    /** Adds to what an active account uses, in thousandths of a core. */
    public void add(String name, long cpuMillis) {
        mAccounts.get(name).mUsedCpuMillis += cpuMillis;
    }

    /** Returns what an active account uses, in thousandths of a core. */
    public long usedCpuMillis(String name) {
        return mAccounts.get(name).mUsedCpuMillis;
    }

    /** Returns the share of an active account, in thousandths of a core. */
    public double shareCpuMillis(String name) {
        return mCapacityCpuMillis * mAccounts.get(name).mWeight / mTotalWeight;
    }

    /** Returns what an active account uses, as a part of its share. */
    public double usedPart(String name) {
        double share = shareCpuMillis(name);
        return share <= 0 ? 1 : usedCpuMillis(name) / share;
    }

    /**
     * Returns how many tasks an active account may start before it uses its share; the last one may
     * exceed it, so that an account with a small share can run a large task.
     *
     * @param name name of the account, not null
     * @param cpuMillis what each of the tasks takes, in thousandths of a core, 0 or more
     */
    public int tasksWithinShare(String name, long cpuMillis) {
        double left = shareCpuMillis(name) - usedCpuMillis(name);
        return left <= 0 ? 0 : (int) Math.ceil(left / Math.max(1, cpuMillis));
    }

    /** The weight of an account and what it uses. */
    private static final class Account {
        private final double mWeight;
        private long mUsedCpuMillis;

        private Account(double weight) {
            mWeight = weight;
        }
    }
}
