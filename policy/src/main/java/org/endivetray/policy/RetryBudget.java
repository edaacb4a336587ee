package org.endivetray.policy;

/**
 * Limits retries to a fraction of the successful requests.
 *
 * <p>Invariants: the balance is between 0 and {@link #MAX_BALANCE}; a retry takes 1 from it.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 */
public final class RetryBudget {
    /** Amount that a success adds to the balance, in retries. */
    public static final double RETRIES_PER_SUCCESS = 0.1;

    /** Highest balance, in retries. */
    public static final double MAX_BALANCE = 20;

    private double mBalance = MAX_BALANCE;

    /** Records that a request was answered. */
    public void onSuccess() {
        mBalance = Math.min(MAX_BALANCE, mBalance + RETRIES_PER_SUCCESS);
    }

    /**
     * Takes one retry from the balance.
     *
     * @param overloaded whether requests wait for slots, in which case no retry is granted
     * @return whether the retry may be made
     */
    public boolean tryTake(boolean overloaded) {
        if (overloaded || mBalance < 1) {
            return false;
        }
        mBalance -= 1;
        return true;
    }

    /** Returns the balance, in retries. */
    public double balance() {
        return mBalance;
    }
}
