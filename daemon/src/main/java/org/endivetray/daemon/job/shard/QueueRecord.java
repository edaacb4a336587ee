package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredLocation;
import org.endivetray.daemon.job.record.StoredQueues;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;

/**
 * Stores the names of the queues of whose jobs the shard holds records, from which all daemons know
 * that the shard needs an owner and in which pools a queue has jobs.
 *
 * <p>Invariants: the record exists only once the location of each job of the shard is stored, so
 * that jobs which a daemon of the earlier version has accepted are found by their location too;
 * left out are those that ended a while ago. A job is answered as accepted only once its queue is
 * recorded.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class QueueRecord {
    /**
     * Time after its end for which a job is given a location, several times that in which a
     * submission is repeated.
     */
    private static final long ENDED_MILLIS = TimeUnit.SECONDS.toMillis(60);

    private final ShardState mState;
    private final BatchWriter mWriter;
    private long mVersion;

    /** The stored names, null if there is no record. */
    private Set<String> mStored;

    private boolean mIsStoring;
    private final List<Waiting> mWaiting = new ArrayList<>();

    /** What is to be done once a queue is recorded. */
    private record Waiting(String queue, Runnable action) {}

    QueueRecord(ShardState state, BatchWriter writer) {
        mState = state;
        mWriter = writer;
    }

    /**
     * Records that the shard has been loaded, and queues the locations of its jobs unless they are
     * stored.
     *
     * @param item the stored record, not null
     * @param nowMillis time of the wall clock, in milliseconds since 1970
     */
    void onLoaded(VersionedValue item, long nowMillis) {
        mVersion = item.version();
        mStored =
                ShardLoader.decode(item, StoredQueues.class).map(StoredQueues::queues).orElse(null);
        if (mStored != null) {
            return;
        }
        for (JobEntry job : mState.mJobs.values()) {
            if (!job.mState.isFinal() || nowMillis - job.mEndedMillis < ENDED_MILLIS) {
                Write location = StoredLocation.write(job.mId, mState.mPool);
                mWriter.add(
                        Change.rewrite(
                                location.key(), location::value, SharedStore.ABSENT, version -> {}),
                        false);
            }
        }
        mIsStoring = true;
        mWriter.afterStored(() -> mIsStoring = false);
    }

    /** Returns whether the names are stored. */
    boolean isStored() {
        return mState.queues().equals(mStored);
    }

    /** Runs an action once a queue that has jobs, or is about to, is recorded. */
    void afterRecorded(String queue, Runnable action) {
        if (mStored != null && mStored.contains(queue)) {
            action.run();
        } else {
            mWaiting.add(new Waiting(queue, action));
        }
    }

    private void onStored(Set<String> names, long version) {
        mVersion = version;
        mStored = names;
        mIsStoring = false;
        List<Waiting> done =
                mWaiting.stream().filter(waiting -> names.contains(waiting.queue())).toList();
        mWaiting.removeAll(done);
        done.forEach(waiting -> waiting.action().run());
    }

    /** Stores the names if they have changed. */
    void store() {
        Set<String> queues = mState.queues();
        if (mIsStoring || queues.equals(mStored)) {
            return;
        }
        Set<String> names = Set.copyOf(queues);
        mIsStoring = true;
        mWriter.add(
                Change.rewrite(
                        JobKeys.POOL_QUEUES_PREFIX + mState.mPool,
                        () -> RecordCodec.encode(new StoredQueues(names)),
                        mVersion,
                        version -> onStored(names, version)),
                false);
    }
}
