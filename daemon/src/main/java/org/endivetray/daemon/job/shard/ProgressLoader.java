package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredCheckpoint;
import org.endivetray.daemon.job.record.StoredProgress;
import org.endivetray.daemon.job.record.StoredProgress.StoredTask;
import org.endivetray.daemon.job.record.StoredTasks;
import org.endivetray.platform.VersionedValue;

/**
 * Restores the progress of one job from its stored records, and loads the occurrences that have
 * been started and are not done.
 *
 * <p>Records may be of different age, since an owner may have ended between two commits: progress
 * that one of them shows has been made.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class ProgressLoader {
    /** Highest number of a part; others are not keys of this version. */
    private static final int MAX_PART = 9_999;

    private final JobEntry mJob;
    private final Map<String, StoredTask> mTasks = new HashMap<>();
    private final Map<String, Integer> mParts = new HashMap<>();
    private final Map<String, VersionedValue> mCheckpoints = new HashMap<>();

    private ProgressLoader(JobEntry job) {
        mJob = job;
    }

    /**
     * Restores the progress of a job.
     *
     * @param job the job without progress, not null
     * @param pool its pool, not null
     * @param records the records of its progress, in any order, not null
     */
    static void restore(JobEntry job, String pool, List<VersionedValue> records) {
        ProgressLoader loader = new ProgressLoader(job);
        String prefix = JobKeys.progressParts(pool, job.mId);
        for (VersionedValue item : records) {
            if (item.key().startsWith(prefix)) {
                loader.addFurther(item, item.key().substring(prefix.length()));
            } else {
                ShardLoader.decode(item, StoredProgress.class)
                        .ifPresent(progress -> loader.addRecord(item, progress));
            }
        }
        if (!job.mState.isFinal()) {
            loader.restoreTasks();
            job.mProgress.onAllLoaded();
        }
    }

    private void addRecord(VersionedValue item, StoredProgress progress) {
        mJob.restore(progress, item.version());
        progress.tasks().forEach((key, task) -> add(key, task, 0));
    }

    private void addFurther(VersionedValue item, String name) {
        if (name.indexOf('.') >= 0) {
            mCheckpoints.put(name, item);
            mJob.mProgress.onCheckpointStored(name, item.version());
        } else if (name.matches("[1-9]\\d{0,3}") && Integer.parseInt(name) <= MAX_PART) {
            int number = Integer.parseInt(name);
            mJob.mProgress.onLoaded(number, item.version());
            ShardLoader.decode(item, StoredTasks.class)
                    .ifPresent(part -> part.tasks().forEach((key, task) -> add(key, task, number)));
        }
    }

    private void add(String key, StoredTask task, int part) {
        mTasks.merge(key, task, ProgressLoader::merge);
        mParts.putIfAbsent(key, part);
    }

    private static StoredTask merge(StoredTask one, StoredTask other) {
        Set<Integer> failedRuns = one.allFailedRuns();
        failedRuns.addAll(other.allFailedRuns());
        return StoredTask.of(
                one.done() || other.done(),
                failedRuns,
                Math.max(one.run(), other.run()),
                one.checkpoint().isEmpty() ? other.checkpoint() : one.checkpoint());
    }

    private void restoreTasks() {
        Set<Integer> started = new HashSet<>();
        mTasks.keySet().forEach(key -> started.add(occurrenceOf(key)));
        for (int number : started) {
            if (mJob.mayLoad(number)) {
                restore(mJob.load(number));
            }
        }
    }

    private static int occurrenceOf(String progressKey) {
        return Integer.parseInt(progressKey.substring(0, progressKey.indexOf('.')));
    }

    private void restore(OccurrenceEntry occurrence) {
        for (TaskEntry task : occurrence.tasks()) {
            StoredTask stored = mTasks.get(task.progressKey());
            if (stored != null) {
                restore(task, stored);
            }
        }
        occurrence.mSteps.forEach(Gang::complete);
        if (occurrence.mOpenTasks == 0) {
            mJob.markDone(occurrence.mNumber);
            mJob.unload(occurrence);
        }
    }

    private void restore(TaskEntry task, StoredTask stored) {
        mJob.mProgress.onLoaded(task, mParts.get(task.progressKey()));
        VersionedValue longCheckpoint = mCheckpoints.get(task.progressKey());
        String checkpoint = stored.checkpoint();
        if (checkpoint.isEmpty() && longCheckpoint != null) {
            checkpoint =
                    ShardLoader.decode(longCheckpoint, StoredCheckpoint.class)
                            .map(StoredCheckpoint::checkpoint)
                            .orElse("");
        }
        task.restore(stored.run(), stored.allFailedRuns(), checkpoint);
        if (stored.done()) {
            task.markDone();
        }
    }
}
