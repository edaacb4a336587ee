package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
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
 * What holds however owners, minions and the store fail, explored at random with the product's
 * code.
 *
 * <p>This class is not thread-safe.
 */
class TakeoverProperties {
    private static final int JOBS = 8;
    private static final int ATTEMPTS = ShardHarness.QUEUE.attempts();
    private static final String[] MINIONS = {"m1", "m2", "m3"};
    private static final long CANCEL_MILLIS = 3_000;

    /** One random course of events and what was seen of it. */
    private static final class Course {
        private final ShardHarness mSite = new ShardHarness();
        private final Random mRandom;
        private final Map<Integer, Future<JobAnswer>> mAnswers = new HashMap<>();
        private final Map<Integer, Future<JobAnswer>> mCancels = new HashMap<>();
        private final Map<Integer, Long> mCancelledMillis = new HashMap<>();
        private final List<String> mDoubled = new ArrayList<>();
        private final List<String> mTrace = new ArrayList<>();
        private Shard mCurrent;

        private Course(long seed) {
            mRandom = new Random(seed);
        }

        private void play() {
            for (String minion : MINIONS) {
                mSite.addMinion(minion);
            }
            mSite.mMinions.mBehaviour =
                    (task, run) -> {
                        int hash = Math.abs((task + "/" + run).hashCode());
                        TaskEnd end = hash % 7 == 0 ? TaskEnd.FAILED : TaskEnd.DONE;
                        return new VirtualMinions.Outcome(100 + hash % 900, end);
                    };
            mCurrent = mSite.takeOver();
            run(200);
            for (int i = 0; i < 40; i++) {
                event(i);
                run(50 + mRandom.nextInt(500));
            }
            calm();
        }

        /** Returns what was done and what became of a task, in order of time. */
        private String trace(String task) {
            List<String> lines = new ArrayList<>(mTrace);
            mSite.mMinions.mStarts.stream()
                    .filter(start -> start.task().startsWith(task))
                    .forEach(start -> lines.add(line(start.millis(), start.toString())));
            mSite.mMinions.mAllEnds.stream()
                    .filter(end -> end.mEnded.task().startsWith(task))
                    .forEach(
                            end ->
                                    lines.add(
                                            line(
                                                    end.mMillis,
                                                    end.mEnded + " noted=" + end.mIsAcknowledged)));
            lines.sort(null);
            return String.join("\n", lines);
        }

        private static String line(long millis, String text) {
            return String.format("%8d %s", millis, text);
        }

        private void event(int number) {
            int kind = mRandom.nextInt(10);
            mTrace.add(line(mSite.mCalls.millis(), "event " + kind));
            switch (kind) {
                case 0, 1, 2 -> submit(number % JOBS + 1);
                case 3 -> mCurrent = mSite.takeOver();
                case 4 -> minion().mIsUnreachable = mRandom.nextBoolean();
                case 5 -> minion().restart();
                case 6 -> minion().mOrderDelayMillis = mRandom.nextBoolean() ? 2_500 : 0;
                case 7 ->
                        mSite.mStore.mMode =
                                VirtualStore.Mode.values()[
                                        mRandom.nextInt(VirtualStore.Mode.values().length)];
                case 8 -> mSite.mStore.mMode = VirtualStore.Mode.UP;
                default -> cancel(mRandom.nextInt(JOBS) + 1);
            }
        }

        private VirtualMinions.Minion minion() {
            String id = MINIONS[mRandom.nextInt(MINIONS.length)];
            mTrace.add(line(mSite.mCalls.millis(), "at " + id));
            return mSite.mMinions.minion(id);
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
                        mSite.submit(mCurrent, job, ShardHarness.step(3), ShardHarness.step(2, 0)));
            }
        }

        private void cancel(int job) {
            if (mCurrent.isLoaded() && !mCancels.containsKey(job)) {
                mCancels.put(job, mCurrent.cancel(ShardHarness.id(job)));
            }
        }

        private void calm() {
            mSite.mStore.mMode = VirtualStore.Mode.UP;
            for (VirtualMinions.Minion minion : mSite.mMinions.all()) {
                minion.mIsUnreachable = false;
                minion.mOrderDelayMillis = 0;
            }
            run(4_000);
            mCurrent = mSite.takeOver();
            run(25_000);
        }

        private void run(long millis) {
            for (long t = 0; t < millis; t += 10) {
                mSite.run(10, mSite.mShards.toArray(new Shard[0]));
                watchDoubles();
                mCancels.forEach(
                        (job, answer) -> {
                            if (answer.succeeded()
                                    && answer.result().verdict() == Verdict.OK
                                    && !mCancelledMillis.containsKey(job)) {
                                mCancelledMillis.put(job, mSite.mCalls.millis());
                            }
                        });
            }
        }

        private void watchDoubles() {
            Map<String, String> where = new HashMap<>();
            for (VirtualMinions.Minion minion : mSite.mMinions.all()) {
                for (String task : minion.mRuns.keySet()) {
                    String other = where.put(task, minion.mInfo.id());
                    if (other != null) {
                        mDoubled.add(task + " on " + other + " and " + minion.mInfo.id());
                    }
                }
            }
        }

        private boolean isCancelled(int job) {
            return mCancels.containsKey(job);
        }
    }

    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void theRulesHoldWhateverFails(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        Course course = new Course(seed);
        course.play();
        assertThat(course.mDoubled).as("tasks that ran twice at once").isEmpty();
        assertNoStartAfterDone(course);
        assertOrder(course);
        assertAttempts(course);
        assertCancelled(course);
        assertNothingLost(course);
    }

    private static void assertNoStartAfterDone(Course course) {
        for (VirtualMinions.End end : course.mSite.mMinions.mAllEnds) {
            if (end.mIsAcknowledged && end.mEnded.end() == TaskEnd.DONE) {
                assertThat(course.mSite.mMinions.mStarts)
                        .as(course.trace(end.mEnded.task()))
                        .noneMatch(
                                start ->
                                        start.task().equals(end.mEnded.task())
                                                && start.millis() > end.mMillis);
            }
        }
    }

    private static void assertOrder(Course course) {
        for (VirtualMinions.Start start : course.mSite.mMinions.mStarts) {
            TaskId id = TaskId.parse(start.task()).orElseThrow();
            if (id.step() == 0) {
                continue;
            }
            for (int i = 0; i < 3; i++) {
                String before = new TaskId(id.job(), 0, 0, i).toString();
                assertThat(course.mSite.mMinions.mAllEnds)
                        .as("%s before %s\n%s", before, start, course.trace(before))
                        .anyMatch(
                                end ->
                                        end.mEnded.task().equals(before)
                                                && end.mEnded.end() == TaskEnd.DONE
                                                && end.mMillis <= start.millis());
            }
        }
    }

    private static void assertAttempts(Course course) {
        for (VirtualMinions.Start start : course.mSite.mMinions.mStarts) {
            long failed =
                    course.mSite.mMinions.mAllEnds.stream()
                            .filter(
                                    end ->
                                            end.mIsAcknowledged
                                                    && end.mEnded.end() == TaskEnd.FAILED
                                                    && end.mEnded.task().equals(start.task())
                                                    && end.mMillis < start.millis())
                            .count();
            assertThat(failed).as(course.trace(start.task())).isLessThan(ATTEMPTS);
        }
    }

    private static void assertCancelled(Course course) {
        course.mCancelledMillis.forEach(
                (job, millis) ->
                        assertThat(course.mSite.mMinions.mStarts)
                                .as("starts after the cancellation of job " + job)
                                .noneMatch(
                                        start ->
                                                start.task().startsWith(ShardHarness.id(job))
                                                        && start.millis()
                                                                > millis + CANCEL_MILLIS));
    }

    private static void assertNothingLost(Course course) {
        course.mAnswers.forEach(
                (job, answer) -> {
                    assertThat(answer.isComplete()).as("answer to job " + job).isTrue();
                    boolean isAccepted =
                            answer.succeeded() && answer.result().verdict() == Verdict.OK;
                    if (isAccepted) {
                        JobState state =
                                course.mCurrent.state(ShardHarness.id(job)).result().state();
                        assertThat(state).as("state of job " + job).isNotNull();
                        assertThat(state.isFinal() || course.isCancelled(job))
                                .as("%s\n%s", state, course.trace(ShardHarness.id(job)))
                                .isTrue();
                    }
                });
    }
}
