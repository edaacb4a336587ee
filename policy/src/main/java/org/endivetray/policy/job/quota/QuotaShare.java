package org.endivetray.policy.job.quota;

import java.util.Objects;
import org.endivetray.job.Resources;

/**
 * What one pool holds and wants of an account's cap.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param granted what the account's tasks may take in the pool at the same time, not null
 * @param wanted what they would take if there were enough, not null
 * @param unit what must be available at once for the largest of the waiting tasks, or for a whole
 *     gang, not null
 * @param since version of the record at which the pool joined those that want room, or moved behind
 *     them after its turn; the lowest one comes first
 */
public record QuotaShare(Resources granted, Resources wanted, Resources unit, long since) {
    /** The share of a pool without tasks of the account. */
    public static final QuotaShare EMPTY =
            new QuotaShare(Resources.NONE, Resources.NONE, Resources.NONE, 0);

    public QuotaShare {
        Objects.requireNonNull(granted);
        Objects.requireNonNull(wanted);
        Objects.requireNonNull(unit);
    }

    /** Returns a copy with another grant. */
    QuotaShare withGranted(Resources other) {
        return new QuotaShare(other, wanted, unit, since);
    }

    /** Returns whether the pool neither holds nor wants anything. */
    boolean isEmpty() {
        return granted.equals(Resources.NONE) && wanted.equals(Resources.NONE);
    }

    /** Returns whether the pool wants more than it holds. */
    boolean isShort() {
        return !granted.covers(wanted);
    }
}
