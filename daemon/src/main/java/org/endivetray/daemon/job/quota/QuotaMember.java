package org.endivetray.daemon.job.quota;

import org.endivetray.job.Resources;
import org.endivetray.platform.SharedStore.Condition;

/**
 * An owned pool whose tasks count against the caps of client accounts.
 *
 * <p>Implementations belong to the scheduler's thread.
 */
public interface QuotaMember {
    /** Returns the pool. */
    String pool();

    /** Returns the owner's key and its version. */
    Condition owner();

    /** Returns what an account's tasks take and wait for in the pool. */
    AccountLoad load(String account);

    /** Returns whether the load includes all runs that earlier owners may have started. */
    boolean isSettled();

    /**
     * What an account's tasks take and wait for in a pool.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param used what the runs that may exist take, not null
     * @param waiting what further tasks would take that only lack room of the account, not null
     * @param unit what must be available at once for the largest of them, not null
     */
    record AccountLoad(Resources used, Resources waiting, Resources unit) {
        /** The load of an account without tasks. */
        public static final AccountLoad NONE =
                new AccountLoad(Resources.NONE, Resources.NONE, Resources.NONE);
    }
}
