package org.endivetray.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.endivetray.ResultCode;

/**
 * The bounded queue of one service's waiting requests.
 *
 * <p>Urgent entries go before non-urgent ones, but one poll in every {@link #NON_URGENT_PERIOD}
 * serves a non-urgent entry first so that none starves. Members share each class by weight; within
 * a member the earliest deadline goes first.
 *
 * <p>Invariants: at most {@code maxService} entries wait in total and {@code maxMember} per member,
 * except for entries that were put back.
 *
 * <p>This class is not thread-safe; the router's thread owns it.
 *
 * @param <T> type of the waiting items
 */
public final class WaitQueue<T> {
    /** Number of polls of which one serves a non-urgent entry first. */
    public static final int NON_URGENT_PERIOD = 10;

    private final int mMaxService;
    private final int mMaxMember;
    private final PriorityClass<T> mUrgent = new PriorityClass<>();
    private final PriorityClass<T> mNonUrgent = new PriorityClass<>();
    private final Map<String, Integer> mPerMember = new HashMap<>();
    private long mPolls;

    /**
     * Constructs an empty queue.
     *
     * @param maxService highest number of waiting entries, 1 or more
     * @param maxMember highest number of waiting entries of one member, 1 or more
     */
    public WaitQueue(int maxService, int maxMember) {
        mMaxService = maxService;
        mMaxMember = maxMember;
    }

    /** Returns the number of waiting entries. */
    public int size() {
        return mUrgent.mSize + mNonUrgent.mSize;
    }

    /**
     * Returns the number of waiting entries that a new entry queues behind: the urgent ones for an
     * urgent entry, all for a non-urgent one.
     *
     * @param urgent whether the new entry is urgent
     */
    public int countAhead(boolean urgent) {
        return urgent ? mUrgent.mSize : size();
    }

    /**
     * Adds an entry unless a bound is reached.
     *
     * @param entry the entry, not null
     * @return empty if the entry was added, else the code of the refusal
     */
    public Optional<ResultCode> offer(Entry<T> entry) {
        int ofMember = mPerMember.getOrDefault(entry.mMember, 0);
        if (size() >= mMaxService || ofMember >= mMaxMember) {
            return Optional.of(ResultCode.QUEUE_FULL);
        }
        mPerMember.merge(entry.mMember, 1, Integer::sum);
        classOf(entry).add(entry);
        return Optional.empty();
    }

    /** Removes and returns the next entry, or empty if none waits. */
    public Optional<Entry<T>> poll() {
        boolean nonUrgentFirst = ++mPolls % NON_URGENT_PERIOD == 0;
        PriorityClass<T> first = nonUrgentFirst ? mNonUrgent : mUrgent;
        PriorityClass<T> second = nonUrgentFirst ? mUrgent : mNonUrgent;
        Entry<T> entry = first.poll();
        if (entry == null) {
            entry = second.poll();
        }
        if (entry == null) {
            return Optional.empty();
        }
        decrementMemberCount(entry);
        return Optional.of(entry);
    }

    /** Puts back an entry that was polled but could not be sent. The bounds do not apply. */
    public void putBack(Entry<T> entry) {
        mPerMember.merge(entry.mMember, 1, Integer::sum);
        classOf(entry).add(entry);
    }

    /**
     * Removes an entry.
     *
     * @return whether the entry was waiting
     */
    public boolean remove(Entry<T> entry) {
        boolean removed = classOf(entry).remove(entry);
        if (removed) {
            decrementMemberCount(entry);
        }
        return removed;
    }

    /**
     * Removes every entry whose deadline is before the given time.
     *
     * @param nanos time on the monotonic clock, in nanoseconds
     * @param onExpired called with each removed entry, not null
     */
    public void expire(long nanos, Consumer<Entry<T>> onExpired) {
        List<Entry<T>> expired = new ArrayList<>();
        mUrgent.collectExpired(nanos, expired);
        mNonUrgent.collectExpired(nanos, expired);
        expired.forEach(this::remove);
        expired.forEach(onExpired);
    }

    private PriorityClass<T> classOf(Entry<T> entry) {
        return entry.mUrgent ? mUrgent : mNonUrgent;
    }

    private void decrementMemberCount(Entry<T> entry) {
        mPerMember.computeIfPresent(
                entry.mMember, (member, count) -> count == 1 ? null : count - 1);
    }

    /**
     * A waiting item with its scheduling attributes.
     *
     * <p>This class is immutable, and thread-safe if the item is.
     *
     * @param <T> type of the item
     */
    public static final class Entry<T> {
        private final T mItem;
        private final String mMember;
        private final int mWeight;
        private final boolean mUrgent;
        private final long mDeadlineNanos;

        /**
         * Constructs an entry.
         *
         * @param item the waiting item, not null
         * @param member the member on whose behalf it waits, not null
         * @param weight the member's weight, 1 or more
         * @param urgent whether it goes before non-urgent entries
         * @param deadlineNanos deadline on the monotonic clock, in nanoseconds
         */
        public Entry(T item, String member, int weight, boolean urgent, long deadlineNanos) {
            mItem = item;
            mMember = member;
            mWeight = Math.max(1, weight);
            mUrgent = urgent;
            mDeadlineNanos = deadlineNanos;
        }

        /** Returns the waiting item. */
        public T item() {
            return mItem;
        }

        /** Returns the member's name. */
        public String member() {
            return mMember;
        }

        /** Returns the deadline on the monotonic clock, in nanoseconds. */
        public long deadlineNanos() {
            return mDeadlineNanos;
        }
    }

    /** The entries of one priority class, shared between members by weighted fair queueing. */
    private static final class PriorityClass<T> {
        private final Map<String, MemberQueue<T>> mQueues = new HashMap<>();
        private double mVirtualTime;
        private int mSize;

        void add(Entry<T> entry) {
            MemberQueue<T> queue =
                    mQueues.computeIfAbsent(entry.mMember, name -> new MemberQueue<>(mVirtualTime));
            queue.mEntries.add(entry);
            mSize++;
        }

        Entry<T> poll() {
            MemberQueue<T> next = null;
            for (MemberQueue<T> queue : mQueues.values()) {
                if (next == null || queue.precedes(next)) {
                    next = queue;
                }
            }
            if (next == null) {
                return null;
            }
            Entry<T> entry = next.mEntries.poll();
            mVirtualTime = next.mVirtualTime;
            next.mVirtualTime += 1.0 / entry.mWeight;
            dropIfEmpty(entry.mMember, next);
            mSize--;
            return entry;
        }

        boolean remove(Entry<T> entry) {
            MemberQueue<T> queue = mQueues.get(entry.mMember);
            if (queue == null || !queue.mEntries.remove(entry)) {
                return false;
            }
            dropIfEmpty(entry.mMember, queue);
            mSize--;
            return true;
        }

        void collectExpired(long nanos, List<Entry<T>> into) {
            for (MemberQueue<T> queue : mQueues.values()) {
                for (Entry<T> entry : queue.mEntries) {
                    if (entry.mDeadlineNanos - nanos < 0) {
                        into.add(entry);
                    }
                }
            }
        }

        private void dropIfEmpty(String member, MemberQueue<T> queue) {
            if (queue.mEntries.isEmpty()) {
                mQueues.remove(member);
            }
        }
    }

    /** The entries of one member in one priority class, earliest deadline first. */
    private static final class MemberQueue<T> {
        private final PriorityQueue<Entry<T>> mEntries =
                new PriorityQueue<>(Comparator.comparingLong(entry -> entry.mDeadlineNanos));
        private double mVirtualTime;

        MemberQueue(double virtualTime) {
            mVirtualTime = virtualTime;
        }

        boolean precedes(MemberQueue<T> other) {
            if (mVirtualTime != other.mVirtualTime) {
                return mVirtualTime < other.mVirtualTime;
            }
            return mEntries.peek().mDeadlineNanos < other.mEntries.peek().mDeadlineNanos;
        }
    }
}
