package org.endivetray.policy.intake;

import java.util.HashMap;
import java.util.Map;

/**
 * The bytes of replies that wait until their receivers read them, and which connection is closed if
 * they are too many.
 *
 * <p>The load: connections that send many requests and read no reply.
 *
 * <p>Invariants: the bytes of a connection are those of its replies that were added and not
 * removed; a connection that was chosen has none.
 *
 * <p>This class is thread-safe.
 *
 * @param <C> a connection, compared by identity
 */
public final class ReplyBudget<C> {
    private final long mBudgetBytes;
    private final Map<C, Long> mUnread = new HashMap<>();
    private long mUnreadBytes;

    /**
     * Constructs a budget of which nothing is used.
     *
     * @param budgetBytes size of the budget, in bytes
     */
    public ReplyBudget(long budgetBytes) {
        mBudgetBytes = budgetBytes;
    }

    /**
     * Records a reply that is about to be sent.
     *
     * @param connection the connection, not null
     * @param bytes length of the reply
     * @return the connection that must be closed, which holds most bytes; null if the budget is
     *     kept or the reply is the only one
     */
    public synchronized C add(C connection, int bytes) {
        mUnread.merge(connection, (long) bytes, Long::sum);
        mUnreadBytes += bytes;
        boolean isOnlyReply = mUnreadBytes == bytes;
        if (mUnreadBytes <= mBudgetBytes || isOnlyReply) {
            return null;
        }
        C largest = null;
        for (Map.Entry<C, Long> entry : mUnread.entrySet()) {
            if (largest == null || entry.getValue() > mUnread.get(largest)) {
                largest = entry.getKey();
            }
        }
        removeAll(largest);
        return largest;
    }

    /** Records that a reply was handed to the kernel, or that this failed. */
    public synchronized void remove(C connection, int bytes) {
        if (mUnread.containsKey(connection)) {
            long removed = Math.min(bytes, mUnread.get(connection));
            mUnreadBytes -= removed;
            mUnread.computeIfPresent(
                    connection, (key, unread) -> unread == removed ? null : unread - removed);
        }
    }

    /** Records that a connection was closed. */
    public synchronized void removeAll(C connection) {
        Long unread = mUnread.remove(connection);
        mUnreadBytes -= unread == null ? 0 : unread;
    }

    /** Returns the bytes of all replies that wait. */
    public synchronized long unreadBytes() {
        return mUnreadBytes;
    }
}
