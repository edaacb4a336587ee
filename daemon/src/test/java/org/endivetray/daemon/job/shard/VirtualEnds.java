package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.MinionOrders.EndedTask;

/**
 * The ends that an incarnation of a minion has recorded and that no owner has acknowledged.
 *
 * <p>Invariants: ends are numbered from 1 in each incarnation.
 *
 * <p>This class is not thread-safe.
 */
final class VirtualEnds {
    private static final int MAX_LISTED = 500;

    private final TreeMap<Long, VirtualEnd> mEnds = new TreeMap<>();
    private long mNextNumber = 1;

    /** Records the end of a run and returns it. */
    VirtualEnd add(long millis, VirtualRun run, TaskEnd end) {
        String checkpoint = end == TaskEnd.DONE ? "" : run.mCheckpoint;
        VirtualEnd record =
                new VirtualEnd(
                        millis, new EndedTask(mNextNumber, run.mTask, run.mRun, end, checkpoint));
        mEnds.put(mNextNumber++, record);
        return record;
    }

    /** Forgets all ends, as a new incarnation does. */
    void clear() {
        mEnds.clear();
        mNextNumber = 1;
    }

    boolean isEmpty() {
        return mEnds.isEmpty();
    }

    /** Forgets the ends up to a number, which an owner has acknowledged. */
    void acknowledge(long lastNumber) {
        Map<Long, VirtualEnd> acknowledged = mEnds.headMap(lastNumber, true);
        acknowledged.values().forEach(end -> end.mIsAcknowledged = !end.mIsLeaseExpired);
        acknowledged.clear();
    }

    void markLeaseExpired() {
        mEnds.values().forEach(end -> end.mIsLeaseExpired = true);
    }

    /** Returns the first page of the ends. */
    List<EndedTask> listed() {
        return mEnds.values().stream().limit(MAX_LISTED).map(end -> end.mEnded).toList();
    }
}
