package org.endivetray.policy.job.quota;

import org.endivetray.job.Resources;

/**
 * What a pool's owner knows of an account's tasks in its pool.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param used what the runs that may exist take, not null
 * @param waiting what the tasks would take for which the pool has capacity, but the account has no
 *     room, and those about to be accepted; not null
 * @param unit what must be available at once for the largest of them, not null
 * @param isSettled whether the owner knows of all runs of earlier owners, so that none of them can
 *     use room which it returns
 * @param isIdle whether the pool has needed much less than it holds for a while
 * @param isTurnOver whether the pool has had its turn at room that is too little for all
 */
public record QuotaDemand(
        Resources used,
        Resources waiting,
        Resources unit,
        boolean isSettled,
        boolean isIdle,
        boolean isTurnOver) {}
