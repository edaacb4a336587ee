package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.Delays;
import org.endivetray.daemon.job.virtual.SteadyRuns;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests requests for jobs whose storing has not been confirmed, on whole daemons.
 *
 * <p>This class is not thread-safe.
 */
class UnconfirmedJobsTest {
    private static final String ID = "00000000000000c1";
    private static final byte[] BODY =
            "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"long_running\":true}]}"
                    .getBytes(StandardCharsets.UTF_8);
    private static final long STEP_MILLIS = 10;

    private final DaemonWorld mWorld = new DaemonWorld(new Delays(1, 0), SteadyRuns.endless());

    @BeforeEach
    void startDaemons() {
        mWorld.startTwoDaemons();
    }

    private static Future<JobAnswer> submit(SimulatedDaemon daemon) {
        return daemon.router().submit(DaemonWorld.QUEUE, "", ID, BODY);
    }

    private Verdict verdictOf(Future<JobAnswer> answer) {
        for (long millis = 0; millis < 5_000 && !answer.isComplete(); millis += STEP_MILLIS) {
            mWorld.run(STEP_MILLIS);
        }
        return answer.result().verdict();
    }

    /** Cancels the job, again and again while the answer is that the outcome is unknown. */
    private Verdict cancel(SimulatedDaemon daemon) {
        for (int tries = 0; tries < 20; tries++) {
            Verdict verdict = verdictOf(daemon.router().cancel(DaemonWorld.QUEUE, ID));
            if (verdict != Verdict.UNKNOWN) {
                return verdict;
            }
            mWorld.run(200);
        }
        return Verdict.UNKNOWN;
    }

    private void assertNeverRuns() {
        mWorld.run(15_000);
        assertThat(mWorld.minions().get("m1").running()).isEmpty();
        assertThat(mWorld.minions().record().starts()).isEmpty();
    }

    /** Guards against an owner that goes on storing a job whose client was told that it is gone. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aJobThatIsCancelledWhileTheStoreIsDownNeverRuns(boolean pausesLeases) {
        mWorld.store().goDown(4_500, pausesLeases);
        assertThat(verdictOf(submit(mWorld.owner()))).isEqualTo(Verdict.UNKNOWN);
        assertThat(cancel(mWorld.other())).isIn(Verdict.OK, Verdict.NO_SUCH_JOB);
        assertNeverRuns();
    }

    @Test
    void aJobThatTheOwnerStoresLateAfterItsCancellationNeverRuns() {
        mWorld.owner().storeLink().delayNextWrite(JobKeys.jobs(DaemonWorld.POOL), 3_000);
        Future<JobAnswer> submission = submit(mWorld.owner());
        mWorld.run(100);
        assertThat(cancel(mWorld.other())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(verdictOf(submission)).isIn(Verdict.UNKNOWN, Verdict.REFUSED);
        assertNeverRuns();
    }

    /** Guards against a late write of a daemon that could not reach the owner. */
    @Test
    void aJobThatIsWrittenToTheInboxLateAfterItsCancellationNeverRuns() {
        mWorld.separate();
        mWorld.other().storeLink().delayNextWrite(JobKeys.inboxJobs(DaemonWorld.POOL), 3_000);
        Future<JobAnswer> submission = submit(mWorld.other());
        mWorld.run(950);
        assertThat(cancel(mWorld.owner())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(verdictOf(submission)).isIn(Verdict.UNKNOWN, Verdict.REFUSED);
        assertNeverRuns();
    }

    /** Guards against a repetition of a submission that arrives after its cancellation. */
    @Test
    void aSubmissionThatArrivesAfterItsCancellationIsRefused() {
        assertThat(cancel(mWorld.owner())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(verdictOf(submit(mWorld.owner()))).isEqualTo(Verdict.REFUSED);
        assertThat(verdictOf(submit(mWorld.other()))).isEqualTo(Verdict.REFUSED);
        assertThat(verdictOf(mWorld.owner().router().state(DaemonWorld.QUEUE, ID)))
                .isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(cancel(mWorld.other())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertNeverRuns();
    }

    /** Guards against an unknown outcome that is told as an absent job. */
    @Test
    void theStateOfAJobThatIsBeingStoredIsUnknown() {
        mWorld.owner().storeLink().delayNextWrite(JobKeys.jobs(DaemonWorld.POOL), 600);
        Future<JobAnswer> submission = submit(mWorld.owner());
        mWorld.run(100);
        assertThat(verdictOf(mWorld.other().router().state(DaemonWorld.QUEUE, ID)))
                .isEqualTo(Verdict.UNKNOWN);
        verdictOf(submission);
        mWorld.run(1_000);
        assertThat(verdictOf(mWorld.other().router().state(DaemonWorld.QUEUE, ID)))
                .isEqualTo(Verdict.OK);
    }

    @Test
    void aCancellationOfAnAbsentJobIsForgottenAfterTheRetentionTime() {
        assertThat(cancel(mWorld.other())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(mWorld.store().read(JobKeys.location(ID)).isPresent()).isTrue();
        mWorld.run(200_000);
        assertThat(mWorld.store().read(JobKeys.location(ID)).isPresent()).isFalse();
        assertThat(mWorld.store().items(JobKeys.inboxCancellations(DaemonWorld.POOL), ""))
                .isEmpty();
        assertThat(verdictOf(submit(mWorld.owner()))).isEqualTo(Verdict.OK);
    }

    @Test
    void theCancellationThatWasStoredForAnOwnerIsRemovedWithTheJob() {
        assertThat(verdictOf(submit(mWorld.owner()))).isEqualTo(Verdict.OK);
        mWorld.separate();
        assertThat(cancel(mWorld.other())).isEqualTo(Verdict.OK);
        assertThat(mWorld.store().items(JobKeys.inboxCancellations(DaemonWorld.POOL), ""))
                .hasSize(1);
        mWorld.run(250_000);
        assertThat(mWorld.store().items(JobKeys.inboxCancellations(DaemonWorld.POOL), ""))
                .isEmpty();
    }
}
