package org.endivetray.daemon.job.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.QueueConfig;
import org.junit.jupiter.api.Test;

/**
 * Tests what a router answers while it reaches no owner and no store.
 *
 * <p>This class is not thread-safe.
 */
class JobRouterTest {
    private static final QueueConfig QUEUE =
            new QueueConfig("charts", "h", "/c/", "ice", 0, 2, 2.0, 600, false);
    private static final byte[] BODY =
            "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500}]}"
                    .getBytes(StandardCharsets.UTF_8);
    private static final String ID = "00000000000000aa";

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private boolean mIsIsolated;

    private final JobRouter mRouter =
            new JobRouter(
                    "a",
                    () -> null,
                    () -> OwnershipView.EMPTY,
                    new LocalShards(mExecutor),
                    (daemon, body, timeout) -> Future.failedFuture("no answer"),
                    mStore,
                    () -> mIsIsolated,
                    new JobMetrics());

    @Test
    void anIsolatedDaemonIsNotReadyAndAnswersAtOnceThatTheOutcomeIsUnknown() {
        mRouter.setReady(true);
        assertThat(mRouter.isReady()).isTrue();
        mIsIsolated = true;
        assertThat(mRouter.isReady()).isFalse();
        Future<JobAnswer> answer = mRouter.submit(QUEUE, "", ID, BODY);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.UNKNOWN);
        mExecutor.advance(5_000);
        assertThat(mStore.get("endivetray/pool/ice/deputy/job/" + ID).isPresent()).isFalse();
    }

    @Test
    void aSubmissionWithoutAnOwnerIsAcceptedOnceItIsStored() {
        Future<JobAnswer> answer = mRouter.submit(QUEUE, "", ID, BODY);
        assertThat(answer.isComplete()).isFalse();
        mExecutor.advance(100);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
    }

    @Test
    void theCountOfAnOwnerThatIsGoneIsNotShown() {
        Future<JobAnswer> answer = mRouter.pending(QUEUE);
        mExecutor.advance(100);
        assertThat(answer.result().verdict()).isEqualTo(Verdict.REFUSED);
    }
}
