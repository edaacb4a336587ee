package org.endivetray.daemon.job.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivetray.daemon.job.record.StoredProgress.StoredTask;
import org.endivetray.job.JobState;
import org.endivetray.platform.RecordCodec;
import org.junit.jupiter.api.Test;

/**
 * Tests the stored form of the progress of tasks.
 *
 * <p>This class is not thread-safe.
 */
class StoredProgressTest {
    private static final int TASKS = 250;
    private static final int ATTEMPTS = 5_000;

    private static StoredProgress restored(StoredProgress progress) {
        return RecordCodec.decode("key", RecordCodec.encode(progress), StoredProgress.class);
    }

    private static Set<Integer> failedRuns(int except) {
        return IntStream.rangeClosed(1, ATTEMPTS)
                .filter(run -> run != except)
                .boxed()
                .collect(Collectors.toSet());
    }

    /** Guards against a record that is too large because a queue allows thousands of attempts. */
    @Test
    void thousandsOfFailedRunsOfEachTaskOfARecordAreStored() {
        Map<String, StoredTask> tasks = new HashMap<>();
        for (int i = 0; i < TASKS; i++) {
            tasks.put("0.0." + i, StoredTask.of(false, failedRuns(i + 2), ATTEMPTS, ""));
        }
        StoredProgress stored =
                restored(new StoredProgress(JobState.RUNNING, 0, tasks, 0, List.of()));
        for (int i = 0; i < TASKS; i++) {
            assertThat(stored.tasks().get("0.0." + i).allFailedRuns()).isEqualTo(failedRuns(i + 2));
        }
    }

    /** Guards against records that daemons of an earlier version reject. */
    @Test
    void aFewFailedRunsAreStoredInTheFormOfEarlierVersions() {
        StoredTask task = StoredTask.of(true, Set.of(1, 3), 4, "c");
        String json = new String(RecordCodec.encode(task), StandardCharsets.UTF_8);
        assertThat(json).doesNotContain("failedRanges");
        assertThat(RecordCodec.decode("key", RecordCodec.encode(task), StoredTask.class))
                .isEqualTo(task);
    }
}
