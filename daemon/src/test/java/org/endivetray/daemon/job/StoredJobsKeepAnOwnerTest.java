package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.Delays;
import org.endivetray.daemon.job.virtual.SteadyRuns;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that accepted jobs run although the configuration no longer sends their queue to their
 * pool, on whole daemons.
 *
 * <p>This class is not thread-safe.
 */
class StoredJobsKeepAnOwnerTest {
    private static final String ID = "00000000000000d1";
    private static final byte[] BODY =
            "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":1000}]}"
                    .getBytes(StandardCharsets.UTF_8);
    private static final Set<String> OTHER_POOLS = Set.of("charts");
    private static final String INBOX = JobKeys.INBOX_PREFIX + DaemonWorld.POOL;

    private final DaemonWorld mWorld = new DaemonWorld(new Delays(1, 0), SteadyRuns.doneAfter(500));

    @BeforeEach
    void startDaemons() {
        mWorld.startTwoDaemons();
    }

    private void submit(SimulatedDaemon daemon) {
        Future<JobAnswer> answer = daemon.router().submit(DaemonWorld.QUEUE, "", ID, BODY);
        for (int i = 0; i < 2_000 && !answer.isComplete(); i++) {
            mWorld.run(1);
        }
        assertThat(answer.result().verdict()).isEqualTo(Verdict.OK);
    }

    private void assertRunsToItsEnd() {
        mWorld.run(12_000);
        assertThat(mWorld.minions().record().ends())
                .extracting(end -> end.ended().end())
                .containsExactly(TaskEnd.DONE, TaskEnd.DONE);
    }

    /** Guards against a job in the inbox of a pool that nobody owns any more. */
    @Test
    void aJobInTheInboxRunsAlthoughItsPoolHasLostItsOwnerAndItsQueue() {
        SimulatedDaemon other = mWorld.other();
        mWorld.owner().process().kill();
        submit(other);
        assertThat(mWorld.store().read(INBOX).isPresent()).isTrue();
        mWorld.setWantedPools(OTHER_POOLS);
        assertRunsToItsEnd();
        assertThat(mWorld.store().read(INBOX).isPresent()).isFalse();
    }

    /** Guards against an inbox that is taken for empty because an owner has ended while reading. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 10, 20, 30, 40, 50, 60, 80, 100, 150, 200})
    void aJobInTheInboxRunsAlthoughTheOwnerEndsWhileItReadsTheInbox(int millis) {
        mWorld.separate();
        submit(mWorld.other());
        mWorld.run(millis);
        mWorld.owner().process().kill();
        mWorld.setWantedPools(OTHER_POOLS);
        assertRunsToItsEnd();
    }

    /** Guards against an owner that ends before it has recorded the queue of an accepted job. */
    @Test
    void aJobIsAcceptedOnlyOnceItsPoolKeepsAnOwner() {
        submit(mWorld.owner());
        mWorld.owner().process().kill();
        mWorld.setWantedPools(OTHER_POOLS);
        assertRunsToItsEnd();
    }

    @Test
    void theMarkOfAnInboxIsRemovedOnceItsOwnerHasReadIt() {
        mWorld.separate();
        submit(mWorld.other());
        assertThat(mWorld.store().read(INBOX).isPresent()).isTrue();
        mWorld.run(500);
        assertThat(mWorld.store().read(INBOX).isPresent()).isFalse();
        assertRunsToItsEnd();
    }
}
