package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.endivetray.daemon.job.ownership.OwnershipWatch;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.routing.JobRouter;
import org.endivetray.daemon.job.routing.LocalShards;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobState;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.SiteConfig;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DurationModel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests requests for the jobs of a queue that the operators have sent to another pool meanwhile.
 *
 * <p>This class is not thread-safe.
 */
class QueueMoveTest {
    private static final String ID = "00000000000000b1";
    private static final String LOCATION = "endivetray/location/" + ID;
    private static final String QUEUES = "endivetray/live/queues/alpha";
    private static final long TICK_MILLIS = 10;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private final VirtualMinions mMinions = new VirtualMinions(mExecutor);
    private final LocalShards mLocal = new LocalShards(mExecutor);
    private final Map<String, MinionInfo> mRegistered = new TreeMap<>();
    private final OwnershipWatch mOwners =
            new OwnershipWatch(mStore, mExecutor, StoreWatch.Timing.ofSilence(3_000), () -> {});
    private final JobRouter mRouter =
            new JobRouter(
                    "a",
                    () -> new SiteConfig(1, List.of(queue("alpha"), queue("beta")), List.of()),
                    mOwners::view,
                    mLocal,
                    (daemon, body, timeout) -> Future.failedFuture("no answer"),
                    mStore,
                    () -> false,
                    new JobMetrics());

    private static QueueConfig queue(String pool) {
        return new QueueConfig("charts", "h", "/c/", pool, 0, 2, 2.0, 600, false);
    }

    private static byte[] body(int tasks) {
        String job = "{\"spec\":\"x\",\"steps\":[{\"count\":" + tasks + ",\"cpu\":1000}]}";
        return job.getBytes(StandardCharsets.UTF_8);
    }

    @BeforeEach
    void startDaemon() {
        mMinions.mBehaviour = (task, run) -> new VirtualMinions.Outcome(3_000, TaskEnd.DONE);
        mOwners.start();
        for (String pool : List.of("alpha", "beta")) {
            mRegistered.put(pool, mMinions.add("m-" + pool, pool, 8_000));
            takeOver(pool);
        }
        run(500);
    }

    /** Lets a new owner take a pool's shard over. */
    private void takeOver(String pool) {
        long token = mStore.put(JobKeys.OWNER_PREFIX + pool, new byte[] {1});
        ShardContext context =
                new ShardContext(
                        mStore,
                        mMinions,
                        null,
                        mExecutor,
                        new MemoryUse(),
                        () -> true,
                        new JobMetrics(),
                        new ShardLimits(6_000, 100, 120_000, StoreWatch.Timing.ofSilence(3_000)),
                        () -> ClientAccounts.NONE);
        mLocal.put(
                new Shard(
                        context,
                        pool,
                        new Condition(JobKeys.OWNER_PREFIX + pool, token),
                        new DurationModel(),
                        mLocal::remove));
    }

    private void loseOwner(String pool) {
        mLocal.get(pool).markLost("test");
    }

    private void run(long millis) {
        for (long t = 0; t < millis; t += TICK_MILLIS) {
            mExecutor.advance(TICK_MILLIS);
            for (Shard shard : List.copyOf(mLocal.all())) {
                shard.onRegistrations(List.of(mRegistered.get(shard.pool())));
                shard.tick(mExecutor.nanoTime());
            }
        }
    }

    private JobAnswer answer(Future<JobAnswer> answer) {
        run(300);
        return answer.result();
    }

    private void submit(String pool) {
        assertThat(answer(mRouter.submit(queue(pool), "", ID, body(2))).verdict())
                .isEqualTo(Verdict.OK);
    }

    private JobState stateAt(String pool) {
        JobAnswer answer = answer(mRouter.state(queue(pool), ID));
        assertThat(answer.verdict()).isEqualTo(Verdict.OK);
        return answer.state();
    }

    private void assertStartsOnlyIn(String pool) {
        assertThat(mMinions.mStarts)
                .hasSize(2)
                .allMatch(start -> start.minion().equals("m-" + pool));
    }

    @Test
    void aJobIsFoundAfterItsQueueWasSentToAnotherPool() {
        submit("alpha");
        assertThat(stateAt("beta")).isEqualTo(JobState.RUNNING);
        run(4_000);
        assertThat(stateAt("beta")).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aRepeatedSubmissionAddsNoSecondJobAfterItsQueueWasSentToAnotherPool() {
        submit("alpha");
        submit("beta");
        run(5_000);
        assertStartsOnlyIn("alpha");
        assertThat(stateAt("beta")).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aJobIsCancelledAfterItsQueueWasSentToAnotherPool() {
        submit("alpha");
        assertThat(answer(mRouter.cancel(queue("beta"), ID)).verdict()).isEqualTo(Verdict.OK);
        run(1_000);
        assertThat(mMinions.minion("m-alpha").mRuns).isEmpty();
        assertThat(stateAt("beta")).isEqualTo(JobState.CANCELED);
    }

    /** Guards against daemons of which one follows a change of the configuration sooner. */
    @Test
    void aJobThatIsSubmittedToTwoPoolsAtOnceRunsInOne() {
        Future<JobAnswer> first = mRouter.submit(queue("alpha"), "", ID, body(2));
        Future<JobAnswer> second = mRouter.submit(queue("beta"), "", ID, body(2));
        run(5_000);
        assertThat(first.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(second.result().verdict()).isEqualTo(Verdict.OK);
        assertThat(mMinions.mStarts).hasSize(2);
        assertThat(mMinions.mStarts.stream().map(VirtualMinions.Start::minion).distinct())
                .hasSize(1);
    }

    @Test
    void aJobThatIsStoredForTwoPoolsWithoutAnOwnerRunsInOne() {
        loseOwner("alpha");
        loseOwner("beta");
        submit("alpha");
        submit("beta");
        assertThat(stateAt("beta")).isEqualTo(JobState.QUEUED);
        takeOver("beta");
        takeOver("alpha");
        run(5_000);
        assertStartsOnlyIn("alpha");
    }

    @Test
    void aJobIsFoundAndCancelledWhileItsFormerPoolHasNoOwner() {
        submit("alpha");
        loseOwner("alpha");
        submit("beta");
        assertThat(stateAt("beta")).isEqualTo(JobState.QUEUED);
        assertThat(answer(mRouter.cancel(queue("beta"), ID)).verdict()).isEqualTo(Verdict.OK);
        takeOver("alpha");
        run(1_000);
        assertThat(stateAt("beta")).isEqualTo(JobState.CANCELED);
        assertThat(mMinions.minion("m-alpha").mRuns).isEmpty();
    }

    /** Leaves the records as a daemon of the earlier version has written them. */
    private void submitToEarlierVersion() {
        submit("alpha");
        loseOwner("alpha");
        mStore.remove(LOCATION);
        mStore.remove(QUEUES);
        run(100);
    }

    @Test
    void aJobWithoutALocationIsFoundBeforeItsPoolHasAnOwner() {
        submitToEarlierVersion();
        assertThat(stateAt("beta")).isEqualTo(JobState.QUEUED);
        assertThat(answer(mRouter.cancel(queue("beta"), ID)).verdict()).isEqualTo(Verdict.OK);
        takeOver("alpha");
        run(1_000);
        assertThat(stateAt("beta")).isEqualTo(JobState.CANCELED);
    }

    @Test
    void aJobWithoutALocationGetsOneFromTheNextOwnerAndRunsInOnePool() {
        submitToEarlierVersion();
        takeOver("alpha");
        run(300);
        assertThat(mStore.get(LOCATION).isPresent()).isTrue();
        submit("beta");
        run(5_000);
        assertStartsOnlyIn("alpha");
    }

    @Test
    void thePendingJobsInTheFormerPoolAreCounted() {
        mMinions.minion("m-alpha").mIsUnreachable = true;
        mMinions.minion("m-beta").mIsUnreachable = true;
        run(1_500);
        submit("alpha");
        Future<JobAnswer> other = mRouter.submit(queue("beta"), "", "00000000000000b2", body(1));
        assertThat(answer(other).verdict()).isEqualTo(Verdict.OK);
        assertThat(answer(mRouter.pending(queue("beta"))).pending()).isEqualTo(2);
        assertThat(answer(mRouter.pending(queue("alpha"))).pending()).isEqualTo(2);
    }

    @Test
    void nothingOfAJobRemainsInTheStoreOnceItsRetentionTimeHasPassed() {
        submit("alpha");
        run(220_000);
        assertThat(mStore.get(LOCATION).isPresent()).isFalse();
        assertThat(mStore.get(JobKeys.jobs("alpha") + ID).isPresent()).isFalse();
        assertThat(mStore.get(JobKeys.progress("alpha") + ID).isPresent()).isFalse();
        assertThat(answer(mRouter.state(queue("beta"), ID)).verdict())
                .isEqualTo(Verdict.NO_SUCH_JOB);
    }
}
