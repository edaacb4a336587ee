package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobState;
import org.endivetray.job.TaskEnd;
import org.endivetray.job.TaskId;

/**
 * Checks the invariants of shards under random sequences of takeovers and failures of minions and
 * the store.
 *
 * <p>This class is not thread-safe.
 */
class TakeoverProperties {
    private static final int JOBS = 8;
    private static final int ATTEMPTS = ShardHarness.QUEUE.attempts();
    private static final int KINDS = 10;
    private static final int KINDS_IF_PARTITIONED = 13;
    private static final int MAX_CUT_MILLIS = 3_000;
    private static final int MAX_LATE_MILLIS = 12_000;

    /** Time for which minions run first where their later incarnations' clocks matter. */
    private static final int FIRST_INCARNATION_MILLIS = 20_000;

    /** Time from an incarnation's first listing in which the owner certainly raises its token. */
    private static final int TOKEN_MILLIS = 500;

    private static final String[] MINIONS = {"m1", "m2", "m3"};

    /**
     * Time after the answer to a cancellation in which tasks of the job may still start, since a
     * minion may carry out an earlier start order late.
     */
    private static final long CANCEL_GRACE_MILLIS = 3_000;

    /** The events that a scenario draws from. */
    private enum Mode {
        BASIC,
        /** Owners may also reach different minions, and jobs may be stored in the inbox. */
        PARTITIONED,
        /** As the one before; half of the owners hand the shard over. */
        HANDOVERS,
        /** Orders may be carried out late by the next incarnation; the store stays up. */
        LATE_ORDERS
    }

    /** One random sequence of events, with the answers and runs that it caused. */
    private static final class Scenario {
        private final ShardHarness mHarness = new ShardHarness();
        private final Random mRandom;
        private final Map<Integer, Future<JobAnswer>> mAnswers = new HashMap<>();
        private final Map<Integer, Future<JobAnswer>> mCancelAnswers = new HashMap<>();
        private final Map<Integer, Long> mCancelledMillis = new HashMap<>();
        private final List<String> mConcurrentRuns = new ArrayList<>();
        private final List<String> mTrace = new ArrayList<>();
        private final Mode mMode;
        private final Set<Integer> mInboxJobs = new HashSet<>();
        private Shard mCurrent;

        private Scenario(long seed, Mode mode) {
            mRandom = new Random(seed);
            mMode = mode;
        }

        private void execute() {
            for (String minion : MINIONS) {
                mHarness.addMinion(minion);
            }
            mHarness.mMinions.mBehaviour =
                    (task, run) -> {
                        int hash = Math.abs((task + "/" + run).hashCode());
                        return new VirtualMinions.Outcome(
                                100 + hash % 900, hash % 7 == 0 ? TaskEnd.FAILED : TaskEnd.DONE);
                    };
            mCurrent = mHarness.takeOver();
            run(200);
            if (mMode == Mode.LATE_ORDERS) {
                mHarness.mMinions.mListedBeforeLateOrdersMillis = TOKEN_MILLIS;
                run(FIRST_INCARNATION_MILLIS);
            }
            for (int i = 0; i < 40; i++) {
                if (mMode == Mode.LATE_ORDERS) {
                    eventWithLateOrders(i);
                } else {
                    event(i);
                }
                run(50 + mRandom.nextInt(500));
            }
            recover();
        }

        /** Returns the events and the starts and ends of a task, in order of time. */
        private String trace(String task) {
            List<String> lines = new ArrayList<>(mTrace);
            mHarness.mMinions.mStarts.stream()
                    .filter(start -> start.task().startsWith(task))
                    .forEach(start -> lines.add(line(start.millis(), start.toString())));
            mHarness.mMinions.mAllEnds.stream()
                    .filter(end -> end.mEnded.task().startsWith(task))
                    .forEach(
                            end ->
                                    lines.add(
                                            line(
                                                    end.mMillis,
                                                    end.mEnded
                                                            + " acknowledged="
                                                            + end.mIsAcknowledged)));
            lines.sort(null);
            return String.join("\n", lines);
        }

        private static String line(long millis, String text) {
            return String.format("%8d %s", millis, text);
        }

        private void event(int number) {
            int kind = mRandom.nextInt(mMode == Mode.BASIC ? KINDS : KINDS_IF_PARTITIONED);
            mTrace.add(line(mHarness.mExecutor.millis(), "event " + kind));
            switch (kind) {
                case 0, 1, 2 -> submit(number % JOBS + 1);
                case 3 -> takeOver();
                case 4 -> minion().mIsUnreachable = mRandom.nextBoolean();
                case 5 -> minion().restart();
                case 6 -> minion().mOrderDelayMillis = mRandom.nextBoolean() ? 2_500 : 0;
                case 7 ->
                        mHarness.mStore.mMode =
                                VirtualStore.Mode.values()[
                                        mRandom.nextInt(VirtualStore.Mode.values().length)];
                case 8 -> mHarness.mStore.mMode = VirtualStore.Mode.UP;
                case 9 -> cancel(mRandom.nextInt(JOBS) + 1);
                case 10 -> cutFromCurrentOwner(minion());
                case 11 -> storeInInbox(JOBS + number + 1);
                default -> takeOverWithoutMinions(JOBS + number + 1);
            }
        }

        private void eventWithLateOrders(int number) {
            int kind = mRandom.nextInt(KINDS);
            mTrace.add(line(mHarness.mExecutor.millis(), "event " + kind));
            switch (kind) {
                case 0, 1, 2 -> submit(JOBS + number + 1);
                case 3 -> mCurrent = mHarness.takeOver();
                case 4 -> minion().mIsUnreachable = mRandom.nextBoolean();
                case 5, 6 -> minion().restart();
                default -> delayNextOrder(minion());
            }
        }

        private void delayNextOrder(VirtualMinions.Minion minion) {
            LateOrders.Kind[] kinds = LateOrders.Kind.values();
            LateOrders.Kind kind =
                    mRandom.nextBoolean()
                            ? LateOrders.Kind.START
                            : kinds[mRandom.nextInt(kinds.length)];
            long millis = 1 + mRandom.nextInt(MAX_LATE_MILLIS);
            mTrace.add(line(mHarness.mExecutor.millis(), kind + " late by " + millis));
            minion.mLateOrders.delayNext(kind, millis);
        }

        /** Cuts a minion from the current owner for a time that is shorter than a lease. */
        private void cutFromCurrentOwner(VirtualMinions.Minion minion) {
            minion.mUnreachableToken = mCurrent.token();
            mHarness.mExecutor.schedule(
                    1 + mRandom.nextInt(MAX_CUT_MILLIS), () -> minion.mUnreachableToken = 0);
        }

        private void takeOver() {
            if (mMode == Mode.HANDOVERS && mRandom.nextBoolean()) {
                mCurrent.startHandover();
                run(200);
                if (mCurrent.isFlushed()) {
                    mCurrent.markLost("handed over");
                }
            }
            mCurrent = mHarness.takeOver();
        }

        private void storeInInbox(int job) {
            mInboxJobs.add(job);
            mHarness.storeInInbox(job, ShardHarness.step(3), ShardHarness.step(2, 0));
        }

        /** Starts a new owner that reaches its minions late, and stores a job in the inbox. */
        private void takeOverWithoutMinions(int job) {
            mCurrent = mHarness.takeOver();
            mHarness.mMinions.all().forEach(this::cutFromCurrentOwner);
            run(20 + mRandom.nextInt(200));
            storeInInbox(job);
        }

        private VirtualMinions.Minion minion() {
            String id = MINIONS[mRandom.nextInt(MINIONS.length)];
            mTrace.add(line(mHarness.mExecutor.millis(), "minion " + id));
            return mHarness.mMinions.minion(id);
        }

        private void submit(int job) {
            Future<JobAnswer> earlier = mAnswers.get(job);
            boolean isAccepted =
                    earlier != null
                            && earlier.succeeded()
                            && earlier.result().verdict() == Verdict.OK;
            if (!isAccepted) {
                mAnswers.put(
                        job,
                        mHarness.submit(
                                mCurrent, job, ShardHarness.step(3), ShardHarness.step(2, 0)));
            }
        }

        private void cancel(int job) {
            if (mCurrent.isLoaded() && !mCancelAnswers.containsKey(job)) {
                mCancelAnswers.put(job, mCurrent.cancel(ShardHarness.id(job)));
            }
        }

        /** Ends all failures and lets a last owner finish the jobs. */
        private void recover() {
            mHarness.mStore.mMode = VirtualStore.Mode.UP;
            for (VirtualMinions.Minion minion : mHarness.mMinions.all()) {
                minion.mIsUnreachable = false;
                minion.mOrderDelayMillis = 0;
                minion.mUnreachableToken = 0;
            }
            run(4_000);
            mCurrent = mHarness.takeOver();
            run(25_000);
        }

        private void run(long millis) {
            for (long t = 0; t < millis; t += 10) {
                mHarness.run(10, mHarness.mShards.toArray(new Shard[0]));
                recordConcurrentRuns();
                mCancelAnswers.forEach(
                        (job, answer) -> {
                            if (answer.succeeded()
                                    && answer.result().verdict() == Verdict.OK
                                    && !mCancelledMillis.containsKey(job)) {
                                mCancelledMillis.put(job, mHarness.mExecutor.millis());
                            }
                        });
            }
        }

        private void recordConcurrentRuns() {
            Map<String, String> minionByTask = new HashMap<>();
            for (VirtualMinions.Minion minion : mHarness.mMinions.all()) {
                for (String task : minion.mRuns.keySet()) {
                    String other = minionByTask.put(task, minion.mInfo.id());
                    if (other != null) {
                        mConcurrentRuns.add(task + " on " + other + " and " + minion.mInfo.id());
                    }
                }
            }
        }

        private boolean isCancelled(int job) {
            return mCancelAnswers.containsKey(job);
        }
    }

    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void invariantsHoldUnderRandomFailures(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        assertInvariants(seed, Mode.BASIC);
    }

    /**
     * Guards against runs that a former and a new owner start at the same time, while the new one
     * does not reach all minions yet.
     */
    @Property(tries = 150, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWhileOwnersReachDifferentMinions(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        assertInvariants(seed, Mode.PARTITIONED);
    }

    /** Guards against a new owner that misses a run which the list of minions does not name. */
    @Property(tries = 150, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWhenOwnersHandOver(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        assertInvariants(seed, Mode.HANDOVERS);
    }

    /**
     * Guards against orders that a later incarnation of their minion carries out. None arrives
     * before that incarnation has been told a token, since nothing could refuse it.
     */
    @Property(tries = 150, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWhenOrdersReachTheNextIncarnation(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        assertInvariants(seed, Mode.LATE_ORDERS);
    }

    private static void assertInvariants(long seed, Mode mode) {
        Scenario scenario = new Scenario(seed, mode);
        scenario.execute();
        assertThat(scenario.mConcurrentRuns).as("tasks with two runs at the same time").isEmpty();
        assertNoStartAfterDone(scenario);
        assertStepOrder(scenario);
        assertAttempts(scenario);
        assertCancelled(scenario);
        assertNoJobLost(scenario);
        for (int job : scenario.mInboxJobs) {
            assertThat(scenario.mCurrent.state(ShardHarness.id(job)).result().state())
                    .as("%s", scenario.trace(ShardHarness.id(job)))
                    .matches(JobState::isFinal);
        }
    }

    private static void assertNoStartAfterDone(Scenario scenario) {
        for (VirtualEnd end : scenario.mHarness.mMinions.mAllEnds) {
            if (end.mIsAcknowledged && end.mEnded.end() == TaskEnd.DONE) {
                assertThat(scenario.mHarness.mMinions.mStarts)
                        .as(scenario.trace(end.mEnded.task()))
                        .noneMatch(
                                start ->
                                        start.task().equals(end.mEnded.task())
                                                && start.millis() > end.mMillis);
            }
        }
    }

    private static void assertStepOrder(Scenario scenario) {
        for (VirtualMinions.Start start : scenario.mHarness.mMinions.mStarts) {
            TaskId id = TaskId.parse(start.task()).orElseThrow();
            if (id.step() == 0) {
                continue;
            }
            for (int i = 0; i < 3; i++) {
                String predecessor = new TaskId(id.job(), 0, 0, i).toString();
                assertThat(scenario.mHarness.mMinions.mAllEnds)
                        .as("%s before %s\n%s", predecessor, start, scenario.trace(predecessor))
                        .anyMatch(
                                end ->
                                        end.mEnded.task().equals(predecessor)
                                                && end.mEnded.end() == TaskEnd.DONE
                                                && end.mMillis <= start.millis());
            }
        }
    }

    private static void assertAttempts(Scenario scenario) {
        for (VirtualMinions.Start start : scenario.mHarness.mMinions.mStarts) {
            long failed =
                    scenario.mHarness.mMinions.mAllEnds.stream()
                            .filter(
                                    end ->
                                            end.mIsAcknowledged
                                                    && end.mEnded.end() == TaskEnd.FAILED
                                                    && end.mEnded.task().equals(start.task())
                                                    && end.mMillis < start.millis())
                            .count();
            assertThat(failed).as(scenario.trace(start.task())).isLessThan(ATTEMPTS);
        }
    }

    private static void assertCancelled(Scenario scenario) {
        scenario.mCancelledMillis.forEach(
                (job, millis) ->
                        assertThat(scenario.mHarness.mMinions.mStarts)
                                .as("starts after the cancellation of job " + job)
                                .noneMatch(
                                        start ->
                                                start.task().startsWith(ShardHarness.id(job))
                                                        && start.millis()
                                                                > millis + CANCEL_GRACE_MILLIS));
    }

    private static void assertNoJobLost(Scenario scenario) {
        scenario.mAnswers.forEach(
                (job, answer) -> {
                    assertThat(answer.isComplete()).as("answer to job " + job).isTrue();
                    boolean isAccepted =
                            answer.succeeded() && answer.result().verdict() == Verdict.OK;
                    if (isAccepted) {
                        JobState state =
                                scenario.mCurrent.state(ShardHarness.id(job)).result().state();
                        assertThat(state).as("state of job " + job).isNotNull();
                        assertThat(state.isFinal() || scenario.isCancelled(job))
                                .as("%s\n%s", state, scenario.trace(ShardHarness.id(job)))
                                .isTrue();
                    }
                });
    }
}
