package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredMinions;
import org.endivetray.platform.RecordCodec;

/**
 * Stores the list of minions that may hold runs, from which the next owner knows which minions it
 * has to ask.
 *
 * <p>Invariants: a minion is in the stored list before its first start, and is removed from it once
 * nothing can run on it, so that the next owner does not wait for it.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionRecord {
    private final ShardState mState;
    private final BatchWriter mWriter;
    private long mVersion;
    private Set<String> mStoredIds = Set.of();
    private boolean mIsStoring;

    MinionRecord(ShardState state, BatchWriter writer) {
        mState = state;
        mWriter = writer;
    }

    /** Records that the stored list has been loaded into the state of the shard. */
    void onLoaded(long version) {
        mVersion = version;
        mStoredIds = Set.copyOf(mState.mMinions.keySet());
    }

    /** Stores the list if it has changed, or if a minion needs a higher token. */
    void store() {
        boolean isStored = mStoredIds.equals(mState.mMinions.keySet());
        if (mIsStoring || isStored && !mState.mNeedsToken) {
            return;
        }
        mState.mNeedsToken = false;
        StoredMinions record =
                new StoredMinions(
                        mState.mMinions.values().stream().map(MinionSession::info).toList());
        Set<String> ids = Set.copyOf(mState.mMinions.keySet());
        mIsStoring = true;
        mWriter.add(
                Change.rewrite(
                        JobKeys.minions(mState.mPool),
                        () -> RecordCodec.encode(record),
                        mVersion,
                        version -> onStored(ids, version)),
                true);
    }

    private void onStored(Set<String> ids, long version) {
        mVersion = version;
        mIsStoring = false;
        mStoredIds = ids;
        // A minion may have left and returned meanwhile, so its present session is marked.
        for (MinionSession session : List.copyOf(mState.mMinions.values())) {
            session.mIsRecorded |= ids.contains(session.id());
        }
        mState.mNeedsDispatch = true;
    }
}
