package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.Delays;
import org.endivetray.daemon.job.virtual.WorkPlan;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.TaskEnd;
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

    /** Runs go on until they are stopped. */
    private static final class EndlessRuns implements WorkPlan {
        @Override
        public Outcome of(String task, int run) {
            return new Outcome(0, TaskEnd.FAILED);
        }

        @Override
        public boolean savesCheckpoints(String task) {
            return false;
        }
    }

    private final DaemonWorld mWorld = new DaemonWorld(new Delays(1, 0), new EndlessRuns());

    @BeforeEach
    void startDaemons() {
        mWorld.addMinion("m1");
        mWorld.start("d1");
        mWorld.start("d2");
        mWorld.run(3_000);
    }

    private SimulatedDaemon owner() {
        return mWorld.daemon(mWorld.daemon("d1").isOwner() ? "d1" : "d2");
    }

    private SimulatedDaemon other() {
        return mWorld.daemon(mWorld.daemon("d1").isOwner() ? "d2" : "d1");
    }

    /** Lets two daemons no longer reach each other. */
    private static void separate(SimulatedDaemon one, SimulatedDaemon another) {
        one.peerLink().setCut(another.name(), true);
        another.peerLink().setCut(one.name(), true);
    }

    private static Future<JobAnswer> submit(SimulatedDaemon daemon) {
        return daemon.router().submit(DaemonWorld.QUEUE, ID, BODY);
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
        assertThat(verdictOf(submit(owner()))).isEqualTo(Verdict.UNKNOWN);
        assertThat(cancel(other())).isIn(Verdict.OK, Verdict.NO_SUCH_JOB);
        assertNeverRuns();
    }

    @Test
    void aJobThatTheOwnerStoresLateAfterItsCancellationNeverRuns() {
        owner().storeLink().delayNextWrite(JobKeys.jobs(DaemonWorld.POOL), 3_000);
        Future<JobAnswer> submission = submit(owner());
        mWorld.run(100);
        assertThat(cancel(other())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(verdictOf(submission)).isIn(Verdict.UNKNOWN, Verdict.REFUSED);
        assertNeverRuns();
    }

    /** Guards against a late write of a daemon that could not reach the owner. */
    @Test
    void aJobThatIsWrittenToTheInboxLateAfterItsCancellationNeverRuns() {
        SimulatedDaemon owner = owner();
        separate(owner, other());
        other().storeLink().delayNextWrite(JobKeys.inboxJobs(DaemonWorld.POOL), 3_000);
        Future<JobAnswer> submission = submit(other());
        mWorld.run(950);
        assertThat(cancel(owner)).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(verdictOf(submission)).isIn(Verdict.UNKNOWN, Verdict.REFUSED);
        assertNeverRuns();
    }

    /** Guards against a repetition of a submission that arrives after its cancellation. */
    @Test
    void aSubmissionThatArrivesAfterItsCancellationIsRefused() {
        assertThat(cancel(owner())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(verdictOf(submit(owner()))).isEqualTo(Verdict.REFUSED);
        assertThat(verdictOf(submit(other()))).isEqualTo(Verdict.REFUSED);
        assertThat(verdictOf(owner().router().state(DaemonWorld.QUEUE, ID)))
                .isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(cancel(other())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertNeverRuns();
    }

    /** Guards against an unknown outcome that is told as an absent job. */
    @Test
    void theStateOfAJobThatIsBeingStoredIsUnknown() {
        owner().storeLink().delayNextWrite(JobKeys.jobs(DaemonWorld.POOL), 600);
        Future<JobAnswer> submission = submit(owner());
        mWorld.run(100);
        assertThat(verdictOf(other().router().state(DaemonWorld.QUEUE, ID)))
                .isEqualTo(Verdict.UNKNOWN);
        verdictOf(submission);
        mWorld.run(1_000);
        assertThat(verdictOf(other().router().state(DaemonWorld.QUEUE, ID))).isEqualTo(Verdict.OK);
    }

    @Test
    void aCancellationOfAnAbsentJobIsForgottenAfterTheRetentionTime() {
        assertThat(cancel(other())).isEqualTo(Verdict.NO_SUCH_JOB);
        assertThat(mWorld.store().read(JobKeys.location(ID)).isPresent()).isTrue();
        mWorld.run(200_000);
        assertThat(mWorld.store().read(JobKeys.location(ID)).isPresent()).isFalse();
        assertThat(mWorld.store().items(JobKeys.inboxCancellations(DaemonWorld.POOL), ""))
                .isEmpty();
        assertThat(verdictOf(submit(owner()))).isEqualTo(Verdict.OK);
    }

    @Test
    void theCancellationThatWasStoredForAnOwnerIsRemovedWithTheJob() {
        assertThat(verdictOf(submit(owner()))).isEqualTo(Verdict.OK);
        separate(owner(), other());
        assertThat(cancel(other())).isEqualTo(Verdict.OK);
        assertThat(mWorld.store().items(JobKeys.inboxCancellations(DaemonWorld.POOL), ""))
                .hasSize(1);
        mWorld.run(250_000);
        assertThat(mWorld.store().items(JobKeys.inboxCancellations(DaemonWorld.POOL), ""))
                .isEmpty();
    }
}
