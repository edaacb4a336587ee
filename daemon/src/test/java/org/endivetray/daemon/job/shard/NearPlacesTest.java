package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivetray.daemon.job.shard.VirtualMinions.Start;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.Resources;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests that tasks wait for a place in the rack of their data, or of their step, while that pays.
 *
 * <p>Each minion has 8 cores; the minions "p" are in one rack and "q" in another one.
 *
 * <p>This class is not thread-safe.
 */
class NearPlacesTest {
    private static final double FAR_FACTOR = 4;
    private static final long SHORT_MILLIS = 500;
    private static final long LONG_MILLIS = 5_000;

    /** Time that the ends and starts of runs take to be ordered and listed. */
    private static final long ORDER_MILLIS = 300;

    private final ShardHarness mHarness = new ShardHarness();

    /** Returns a step of tasks on whole minions. */
    private static StepSpec step(int count, long estimateMillis, String dataRack) {
        return step(count, estimateMillis, false, false, dataRack);
    }

    private static StepSpec step(
            int count, long estimateMillis, boolean gang, boolean sameRack, String dataRack) {
        return new StepSpec(
                count,
                8_000,
                100,
                0,
                estimateMillis,
                List.of(),
                false,
                gang,
                sameRack,
                "",
                dataRack,
                0,
                false,
                false,
                "",
                0,
                false,
                -1);
    }

    private Shard startWith(String... minions) {
        mHarness.mFarFactor = FAR_FACTOR;
        for (String minion : minions) {
            mHarness.addMinion(minion, minion.substring(0, 1));
        }
        Shard shard = mHarness.takeOver();
        mHarness.run(ORDER_MILLIS, shard);
        return shard;
    }

    private void letTasksTake(long millis) {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(millis, TaskEnd.DONE);
    }

    /** Sets the cap of the account "ferry", in cores. */
    private void setCap(int cores) {
        ClientAccount account =
                new ClientAccount("ferry", Set.of(), 0, 1, new Resources(cores * 1_000L, 0, 0));
        mHarness.mAccounts = ClientAccounts.of(List.of(account), Set.of()).withVersion(cores);
    }

    private void submitForAccount(Shard shard, int job, StepSpec step) {
        shard.submit(ShardHarness.QUEUE, "ferry", ShardHarness.id(job), ShardHarness.job(step));
    }

    /** Returns how often waits for a near place have begun or ended in a way. */
    private double waits(String event) {
        return metric(
                "endivetray_near_waits_total{event=\"%s\",pool=\"%s\"} "
                        .formatted(event, ShardHarness.POOL));
    }

    /** Returns how often the ends on a minion have been forecast. */
    private double forecasts() {
        return metric(
                "endivetray_place_forecasts_total{pool=\"%s\"} ".formatted(ShardHarness.POOL));
    }

    private double metric(String prefix) {
        return mHarness.mMetrics
                .text()
                .lines()
                .filter(line -> line.startsWith(prefix))
                .mapToDouble(line -> Double.parseDouble(line.substring(prefix.length())))
                .sum();
    }

    /** Returns the minions on which tasks of the job with a number have been started. */
    private List<String> minionsOf(int job) {
        return mHarness.mMinions.mStarts.stream()
                .filter(start -> start.task().startsWith(ShardHarness.id(job)))
                .map(Start::minion)
                .toList();
    }

    private Set<String> racksOf(int job) {
        return minionsOf(job).stream()
                .map(minion -> minion.substring(0, 1))
                .collect(Collectors.toSet());
    }

    @Test
    void aTaskWaitsForThePlaceInTheRackOfItsDataThatIsDueSoon() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).isEmpty();
        mHarness.run(SHORT_MILLIS, shard);
        assertThat(minionsOf(2)).containsExactly("p1");
    }

    @Test
    void aTaskStartsAwayAtOnceIfThePlaceInItsRackIsDueLate() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(1, LONG_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).containsExactly("q1");
    }

    @Test
    void manyTasksForOneRackDoNotQueueThereWhileOtherPlacesAreFree() {
        Shard shard = startWith("p1", "q1", "q2", "q3", "q4", "q5", "q6");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        for (int job = 2; job <= 7; job++) {
            mHarness.submit(shard, job, step(1, SHORT_MILLIS, "p"));
        }
        mHarness.run(100, shard);
        long away =
                mHarness.mMinions.mStarts.stream()
                        .filter(start -> start.minion().startsWith("q"))
                        .count();
        assertThat(away).isEqualTo(5);
    }

    @Test
    void aPlaceThatAWaitingTaskLeavesIsTakenByAnotherTaskAtOnce() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.submit(shard, 3, step(1, SHORT_MILLIS, ""));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).isEmpty();
        assertThat(minionsOf(3)).containsExactly("q1");
    }

    @Test
    void aWaitIsBoundedIfThePlaceDoesNotBecomeFree() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).isEmpty();
        long lossMillis = Math.round((FAR_FACTOR - 1) * SHORT_MILLIS);
        mHarness.run(lossMillis + ORDER_MILLIS, shard);
        assertThat(minionsOf(2)).containsExactly("q1");
    }

    @Test
    void aWaitEndsIfTheMinionsOfTheRackAreDraining() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).isEmpty();
        MinionInfo near = mHarness.mRegistered.get(0);
        mHarness.mRegistered.set(
                0,
                new MinionInfo(
                        near.id(),
                        near.pool(),
                        near.host(),
                        near.port(),
                        near.zone(),
                        true,
                        near.cpuMillis(),
                        near.memoryMb(),
                        near.gpus(),
                        near.labels(),
                        near.bornMillis()));
        mHarness.run(150, shard);
        assertThat(minionsOf(2)).containsExactly("q1");
    }

    @Test
    void aWaitEndsIfTheRackIsLost() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(100, shard);
        mHarness.mRegistered.remove(0);
        mHarness.run(150, shard);
        assertThat(minionsOf(2)).containsExactly("q1");
    }

    @Test
    void tasksThatBelongInOneRackStartInTheRackThatHoldsAllOfThem() {
        Shard shard = startWith("p1", "p2", "q1", "q2", "q3");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(3, SHORT_MILLIS, false, true, ""));
        mHarness.run(100, shard);
        assertThat(racksOf(1)).containsExactly("q");
        mHarness.submit(shard, 2, step(2, SHORT_MILLIS, true, true, ""));
        mHarness.run(100, shard);
        assertThat(racksOf(2)).containsExactly("p");
    }

    @Test
    void aGangThatBelongsInOneRackWaitsForItAsAWhole() {
        Shard shard = startWith("p1", "p2", "q1");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(2, SHORT_MILLIS, true, true, ""));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).isEmpty();
        mHarness.run(SHORT_MILLIS, shard);
        assertThat(minionsOf(2)).containsExactlyInAnyOrder("p1", "p2");
    }

    @Test
    void aGangThatBelongsInOneRackIsSpreadIfNoRackHoldsAllOfIt() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(2, SHORT_MILLIS, true, true, ""));
        mHarness.run(100, shard);
        assertThat(minionsOf(1)).containsExactlyInAnyOrder("p1", "q1");
    }

    @Test
    void aStepThatItsAccountsCapBlocksReportsNoPlaceUntilItStarts() {
        Shard shard = startWith("p1", "q1", "q2");
        setCap(8);
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.startsWith(ShardHarness.id(1)) ? LONG_MILLIS : SHORT_MILLIS,
                                TaskEnd.DONE);
        submitForAccount(shard, 1, step(1, LONG_MILLIS, "q"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        submitForAccount(shard, 3, step(1, SHORT_MILLIS, "p"));
        mHarness.run(SHORT_MILLIS + ORDER_MILLIS, shard);
        assertThat(minionsOf(3)).isEmpty();
        assertThat(waits("begun")).isEqualTo(1);
        assertThat(waits("near")).isZero();
        setCap(16);
        mHarness.run(ORDER_MILLIS, shard);
        assertThat(minionsOf(3)).containsExactly("p1");
        assertThat(waits("begun")).isEqualTo(1);
        assertThat(waits("near")).isEqualTo(1);
    }

    @Test
    void aGangThatIsShortOfOnePlaceAfterItsWaitReportsNoPlaceUntilItStarts() {
        Shard shard = startWith("p1", "p2", "q1");
        mHarness.mMinions.mBehaviour =
                (task, run) ->
                        new VirtualMinions.Outcome(
                                task.startsWith(ShardHarness.id(3)) ? SHORT_MILLIS : LONG_MILLIS,
                                TaskEnd.DONE);
        mHarness.submit(shard, 1, step(2, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(2, SHORT_MILLIS, true, true, ""));
        mHarness.run(3 * SHORT_MILLIS + ORDER_MILLIS, shard);
        assertThat(minionsOf(2)).isEmpty();
        assertThat(waits("begun")).isEqualTo(1);
        assertThat(waits("near") + waits("away")).isZero();
        mHarness.run(LONG_MILLIS, shard);
        assertThat(minionsOf(2)).hasSize(2);
        assertThat(waits("near") + waits("away")).isEqualTo(2);
    }

    @Test
    void noTaskWaitsWhileTheFactorIsNotLearnt() {
        Shard shard = startWith("p1", "q1");
        mHarness.mFarFactor = 0;
        shard = mHarness.takeOver();
        mHarness.run(ORDER_MILLIS, shard);
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(1, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, SHORT_MILLIS, "p"));
        mHarness.run(100, shard);
        assertThat(minionsOf(2)).containsExactly("q1");
    }

    private double forecastsIn(long millis, Shard shard) {
        double before = forecasts();
        mHarness.run(millis, shard);
        return forecasts() - before;
    }

    @Test
    void aPassForecastsAMinionOnceHoweverManyStepsWaitForIt() {
        Shard shard = startWith("p1", "p2", "p3", "q1");
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(3, LONG_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, LONG_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        double forOne = forecastsIn(1_000, shard);
        mHarness.submit(shard, 3, step(1, LONG_MILLIS, "p"));
        mHarness.submit(shard, 4, step(1, LONG_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        assertThat(waits("begun")).isEqualTo(3);
        assertThat(forecastsIn(1_000, shard)).isPositive().isLessThan(forOne * 1.5);
    }

    @Test
    void nothingIsForecastForStepsThatNameNoRack() {
        Shard shard = startWith("p1", "q1");
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(3, LONG_MILLIS, ""));
        mHarness.submit(shard, 2, step(3, LONG_MILLIS, true, false, ""));
        assertThat(forecastsIn(1_000, shard)).isZero();
    }

    @Test
    void nothingIsForecastIfTheLossOfARunAwayIsTooSmallForAWait() {
        Shard shard = startWith("p1", "p2", "q1", "q2", "q3");
        letTasksTake(SHORT_MILLIS);
        mHarness.submit(shard, 1, step(2, SHORT_MILLIS, "p"));
        mHarness.run(ORDER_MILLIS, shard);
        mHarness.submit(shard, 2, step(1, 20, "p"));
        mHarness.submit(shard, 3, step(2, 20, true, true, ""));
        assertThat(forecastsIn(ORDER_MILLIS, shard)).isZero();
        assertThat(minionsOf(2)).hasSize(1);
        assertThat(racksOf(3)).containsExactly("q");
    }

    @Test
    void nothingIsForecastWhileTheFactorIsNotLearnt() {
        startWith("p1", "p2", "q1", "q2", "q3");
        mHarness.mFarFactor = 0;
        Shard shard = mHarness.takeOver();
        mHarness.run(ORDER_MILLIS, shard);
        letTasksTake(LONG_MILLIS);
        mHarness.submit(shard, 1, step(3, LONG_MILLIS, false, true, ""));
        assertThat(forecastsIn(ORDER_MILLIS, shard)).isZero();
        mHarness.submit(shard, 2, step(3, LONG_MILLIS, true, true, ""));
        mHarness.submit(shard, 3, step(1, LONG_MILLIS, "q"));
        assertThat(forecastsIn(1_000, shard)).isZero();
        assertThat(racksOf(1)).containsExactly("q");
    }
}
