package org.endivetray.daemon.job.shard;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredMinions;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.RecordCodec;

/**
 * Stores the list of minions that may hold runs, from which the next owner knows which minions it
 * has to ask.
 *
 * <p>A minion that does not answer is closed: it gets no tasks until it is stored as open again. So
 * the next owner need not take any waiting task for one that the minion may run, only those that
 * the list names.
 *
 * <p>Invariants: a minion is in the stored list as open before its first start, and is removed from
 * it once nothing can run on it, so that the next owner does not wait for it; all runs that a
 * closed minion may hold are of the tasks that the list names.
 *
 * <p>A minion whose tasks have no place in the record stays open, so that the next owner takes any
 * task for one that the minion may run until it answers or its lease has ended.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionRecord {
    private static final Logger LOGGER = System.getLogger(MinionRecord.class.getName());

    /** Most bytes of a record that the names of tasks on closed minions may take, half of it. */
    private static final int MAX_TASK_BYTES = RecordCodec.MAX_VALUE_BYTES / 2;

    /** Delay before a list that is too large is encoded again. */
    private static final long ENCODE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time without an answer after which a minion is closed, several slow round trips. */
    private static final long CLOSE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time between two writes only to close minions; those of a rack fall silent together. */
    private static final long CLOSE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ShardState mState;
    private final BatchWriter mWriter;
    private long mVersion;
    private Content mStored = new Content(Set.of(), Map.of());
    private long mStoredNanos;
    private long mEncodeAgainNanos;
    private boolean mIsStoring;

    /**
     * What is stored.
     *
     * @param open ids of the open minions, not null
     * @param closed names of the tasks that may have runs, by id of the closed minion, not null
     */
    private record Content(Set<String> open, Map<String, Set<String>> closed) {
        Set<String> ids() {
            Set<String> ids = new HashSet<>(open);
            ids.addAll(closed.keySet());
            return ids;
        }

        /** Returns whether this content allows all starts, and names all runs, that other does. */
        boolean covers(Content other) {
            return open.containsAll(other.open())
                    && other.closed().keySet().stream()
                            .allMatch(
                                    id ->
                                            open.contains(id)
                                                    || closed.get(id)
                                                            .containsAll(other.closed().get(id)));
        }
    }

    MinionRecord(ShardState state, BatchWriter writer) {
        mState = state;
        mWriter = writer;
    }

    /**
     * Records that the stored list has been loaded into the state of the shard.
     *
     * @param version version of the stored list
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    void onLoaded(long version, long nowNanos) {
        mVersion = version;
        mEncodeAgainNanos = nowNanos;
        Set<String> open = new HashSet<>();
        Map<String, Set<String>> closed = new HashMap<>();
        for (String id : mState.mMinions.keySet()) {
            mState.mInheritedRuns
                    .tasksOn(id, nowNanos)
                    .ifPresentOrElse(tasks -> closed.put(id, tasks), () -> open.add(id));
        }
        mStored = new Content(open, closed);
    }

    /**
     * Stores the list if it has changed, or if a minion needs a higher token.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     * @param isHandingOver whether nothing more is started, so that every minion may be closed
     */
    void store(long nowNanos, boolean isHandingOver) {
        if (mIsStoring) {
            return;
        }
        Content content = content(nowNanos, isHandingOver);
        boolean mayClose = isHandingOver || nowNanos - mStoredNanos >= CLOSE_INTERVAL_NANOS;
        boolean isStored =
                mStored.ids().equals(content.ids())
                        && mStored.covers(content)
                        && (!mayClose || mStored.open().equals(content.open()));
        if (isStored && !mState.mNeedsToken) {
            return;
        }
        if (nowNanos - mEncodeAgainNanos < 0) {
            return;
        }
        byte[] record;
        try {
            record = encode(content);
        } catch (EndivetrayException e) {
            // The minions that are recorded stay in use.
            LOGGER.log(Level.ERROR, "minion: list not stored pool={0} reason={1}", mState.mPool, e);
            mEncodeAgainNanos = nowNanos + ENCODE_RETRY_NANOS;
            return;
        }
        mState.mNeedsToken = false;
        mIsStoring = true;
        mStoredNanos = nowNanos;
        content.closed().keySet().forEach(id -> mState.mMinions.get(id).mIsRecorded = false);
        mWriter.add(
                Change.rewrite(
                        JobKeys.minions(mState.mPool),
                        () -> record,
                        mVersion,
                        version -> onStored(content, version)),
                true);
    }

    private byte[] encode(Content content) {
        try {
            return encode(content, UnaryOperator.identity());
        } catch (EndivetrayException e) {
            // Labels are read again from the registrations; a minion may have any number of them.
            return encode(content, info -> info.withLabels(List.of()));
        }
    }

    private byte[] encode(Content content, UnaryOperator<MinionInfo> form) {
        List<MinionInfo> open = new ArrayList<>();
        List<StoredMinions.Closed> closed = new ArrayList<>();
        for (MinionSession session : mState.mMinions.values()) {
            if (content.open().contains(session.id())) {
                open.add(form.apply(session.info()));
            } else {
                closed.add(
                        new StoredMinions.Closed(
                                form.apply(session.info()), content.closed().get(session.id())));
            }
        }
        return new StoredMinions(open, closed).encode();
    }

    private Content content(long nowNanos, boolean isHandingOver) {
        Set<String> open = new HashSet<>();
        Map<String, Set<String>> closed = new HashMap<>();
        int bytes = 0;
        for (MinionSession session : mState.mMinions.values()) {
            boolean isClosed =
                    mStored.closed().containsKey(session.id()) && !session.mIsResponding
                            || session.isSilent(nowNanos, CLOSE_AFTER_NANOS)
                            || isHandingOver && !session.isAnswering(nowNanos);
            Optional<Set<String>> tasks =
                    isClosed ? possibleTasks(session, nowNanos) : Optional.empty();
            bytes += tasks.map(MinionRecord::encodedBytes).orElse(0);
            if (tasks.isPresent() && bytes <= MAX_TASK_BYTES) {
                closed.put(session.id(), tasks.get());
            } else {
                open.add(session.id());
            }
        }
        return new Content(open, closed);
    }

    private static int encodedBytes(Set<String> tasks) {
        return tasks.stream().mapToInt(name -> ProgressPart.encodedBytes(name) + 3).sum();
    }

    /** Returns the tasks that may have runs on a minion, empty if it may be any task. */
    private Optional<Set<String>> possibleTasks(MinionSession session, long nowNanos) {
        return mState.mInheritedRuns
                .tasksOn(session.id(), nowNanos)
                .map(
                        inherited -> {
                            Set<String> names = new HashSet<>(inherited);
                            names.addAll(session.tasks().keySet());
                            names.addAll(session.room().orphanTasks());
                            return names;
                        });
    }

    private void onStored(Content content, long version) {
        mVersion = version;
        mIsStoring = false;
        mStored = content;
        // A minion may have left and returned meanwhile, so its present session is marked.
        for (MinionSession session : mState.mMinions.values()) {
            session.mIsRecorded |= content.open().contains(session.id());
        }
        mState.mNeedsDispatch = true;
    }
}
