package org.endivetray.daemon.job.record;

import java.util.Map;
import org.endivetray.daemon.job.record.StoredProgress.StoredTask;

/**
 * The stored form of the progress of tasks that have no place in the {@link StoredProgress} of
 * their job.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param tasks progress of the tasks, by {@code OCCURRENCE.STEP.INDEX}, not null
 */
public record StoredTasks(Map<String, StoredTask> tasks) {
    public StoredTasks {
        tasks = Map.copyOf(tasks);
    }
}
