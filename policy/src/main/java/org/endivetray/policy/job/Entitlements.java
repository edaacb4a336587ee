package org.endivetray.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts how many submissions of each client account may get room as submissions within its rate.
 *
 * <p>An accepted submission within the rate of its account adds an entitlement to the account.
 * Which of the account's jobs uses it is decided when room is given out, so that an account that
 * exceeds its rate has its most suitable jobs served first. The rate is kept by a token bucket that
 * holds one second's submissions. It depends only on the times of acceptance, so that the next
 * owner of a pool comes to nearly the same counts.
 *
 * <p>Invariants: an account has no more unused entitlements than jobs that could use them.
 *
 * <p>This class is not thread-safe.
 */
public final class Entitlements {
    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final Map<String, Integer> mUnused = new HashMap<>();

    /**
     * Counts a submission and returns whether it is within the rate of its account. Submissions
     * must be passed in the order of their acceptance.
     *
     * @param account name of the account, not null
     * @param perSecond the account's rate, in submissions a second, 0 if it has none
     * @param acceptedMillis time of acceptance, in milliseconds since 1970
     */
    public boolean admit(String account, double perSecond, long acceptedMillis) {
        if (perSecond <= 0) {
            return true;
        }
        return mBuckets.computeIfAbsent(account, ignored -> new Bucket(perSecond, acceptedMillis))
                .take(perSecond, acceptedMillis);
    }

    /** Adds an unused entitlement to an account. */
    public void add(String account) {
        mUnused.merge(account, 1, Integer::sum);
    }

    /** Removes an unused entitlement from an account, which must have one. */
    public void use(String account) {
        mUnused.merge(account, -1, Integer::sum);
    }

    /** Returns the number of unused entitlements of an account. */
    public int unused(String account) {
        return mUnused.getOrDefault(account, 0);
    }

    /**
     * Removes the entitlements of jobs that have ended without using them.
     *
     * @param jobs number of jobs by account that could use one, not null
     */
    public void limitTo(Map<String, Integer> jobs) {
        mUnused.replaceAll((account, unused) -> Math.min(unused, jobs.getOrDefault(account, 0)));
        mUnused.values().removeIf(unused -> unused == 0);
    }

    /** The submissions that an account may still send. */
    private static final class Bucket {
        private double mTokens;
        private long mFilledMillis;

        private Bucket(double perSecond, long nowMillis) {
            mTokens = depth(perSecond);
            mFilledMillis = nowMillis;
        }

        private static double depth(double perSecond) {
            return Math.max(1, perSecond);
        }

        private boolean take(double perSecond, long nowMillis) {
            // The time of day may jump, also back.
            long elapsed = Math.max(0, nowMillis - mFilledMillis);
            mFilledMillis = nowMillis;
            mTokens = Math.min(depth(perSecond), mTokens + perSecond * elapsed / 1e3);
            if (mTokens < 1) {
                return false;
            }
            mTokens--;
            return true;
        }
    }
}
