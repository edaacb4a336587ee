package org.endivetray.daemon.job.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.Collections;
import java.util.List;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.StepSpec;
import org.junit.jupiter.api.Test;

/**
 * Tests submissions while the owner of their pool cannot be reached.
 *
 * <p>This class is not thread-safe.
 */
class StoreFallbackTest {
    private static final String ID = "00000000000000f1";
    private static final QueueConfig QUEUE =
            new QueueConfig("charts", "h", "/c/", "ice", 0, 2, 2.0, 600, false);

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);

    private static JobSpec jobOfSteps(int count) {
        StepSpec step =
                new StepSpec(
                        1, 10, 1, 0, 100, List.of(), false, false, false, "", "", 0, false, false,
                        "", 0, false, -1);
        return new JobSpec("payload", Collections.nCopies(count, step), 0, 0, 0);
    }

    private JobAnswer submit(JobSpec spec) {
        Future<JobAnswer> answer = new StoreFallback(mStore).submit(QUEUE, "", ID, spec);
        mExecutor.advance(100);
        assertThat(answer.succeeded()).as("answered").isTrue();
        return answer.result();
    }

    /** Guards against a caller that repeats for ever what can never be stored. */
    @Test
    void aJobThatIsTooLargeToBeStoredIsRejectedAtOnce() {
        assertThat(submit(jobOfSteps(JobSpec.MAX_TASKS)).verdict())
                .isEqualTo(JobAnswer.Verdict.MALFORMED);
        assertThat(mStore.get(JobKeys.inboxJobs(QUEUE.pool()) + ID).isPresent()).isFalse();
    }

    @Test
    void aJobOfManyStepsIsStoredInTheInbox() {
        assertThat(submit(jobOfSteps(1_000)).verdict()).isEqualTo(JobAnswer.Verdict.OK);
        assertThat(mStore.get(JobKeys.inboxJobs(QUEUE.pool()) + ID).isPresent()).isTrue();
    }
}
