package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.endivetray.policy.job.NearPlaceLoad.Pattern;
import org.endivetray.policy.job.NearPlaceLoad.Result;
import org.endivetray.policy.job.NearPlaceLoad.Rule;
import org.endivetray.policy.job.NearPlacePolicy.Decision;
import org.endivetray.policy.job.NearPlacePolicy.Facts;
import org.junit.jupiter.api.Test;

/**
 * Tests the wait for a near place against rules that never wait, always wait, and wait for a fixed
 * time, on racks that are full for a short time and on one that many jobs ask for at once.
 *
 * <p>This class is not thread-safe.
 */
class NearPlacePolicyTest {
    private static final int SEEDS = 8;
    private static final int RANDOM_FACTS = 20_000;

    /** Wait of delay scheduling (Zaharia et al., 2010) as set by default in Apache Spark. */
    private static final long FIXED_WAIT_MILLIS = 3_000;

    private static final Pattern SHORTLY_FULL = new Pattern(40, 0.6, 0.2, 3);
    private static final Pattern SHORTLY_FULL_SMALL_LOSS = new Pattern(40, 0.6, 0.2, 1.5);
    private static final Pattern HOT_RACK = new Pattern(40, 0.5, 0.6, 3);
    private static final Pattern HOT_RACK_SMALL_LOSS = new Pattern(40, 0.6, 0.6, 1.5);

    private static final Rule POLICY = facts -> NearPlacePolicy.decide(facts).action().waits();
    private static final Rule NEVER = facts -> false;
    private static final Rule ALWAYS = facts -> true;
    private static final Rule FIXED = facts -> facts.waitedMillis() < FIXED_WAIT_MILLIS;

    /** Returns the sums of the mean times and of the late jobs over all seeds. */
    private static Result total(Pattern pattern, Rule rule) {
        double mean = 0;
        int late = 0;
        int jobs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Result result = new NearPlaceLoad(pattern, rule, seed).run();
            mean += result.meanMillis() / SEEDS;
            late += result.late();
            jobs += result.jobs();
        }
        return new Result(mean, late, jobs);
    }

    private static void assertBetterThan(Rule rival, Pattern pattern) {
        Result policy = total(pattern, POLICY);
        Result other = total(pattern, rival);
        String seen = pattern + ": " + policy + " against " + other;
        assertTrue(policy.meanMillis() < other.meanMillis(), seen);
        assertTrue(policy.late() <= other.late(), seen);
    }

    private static void assertBetterInAllPatternsThan(Rule rival) {
        assertBetterThan(rival, SHORTLY_FULL);
        assertBetterThan(rival, SHORTLY_FULL_SMALL_LOSS);
        assertBetterThan(rival, HOT_RACK);
        assertBetterThan(rival, HOT_RACK_SMALL_LOSS);
    }

    @Test
    void jobsEndEarlierAndFewerAreLateThanIfTheyNeverWait() {
        assertBetterInAllPatternsThan(NEVER);
    }

    @Test
    void jobsEndEarlierAndFewerAreLateThanIfTheyAlwaysWait() {
        assertBetterInAllPatternsThan(ALWAYS);
    }

    @Test
    void jobsEndEarlierAndFewerAreLateThanIfTheyWaitForAFixedTime() {
        assertBetterInAllPatternsThan(FIXED);
    }

    private static Facts facts(long place, long slack, long waited) {
        return new Facts(1_000, 2, new TimeEstimate(place, place + 200), slack, waited, 0.5, true);
    }

    @Test
    void aTaskWaitsWhileThePlaceIsDueBeforeTheLossOfARunAway() {
        assertTrue(NearPlacePolicy.decide(facts(400, 5_000, 0)).action().waits());
        assertFalse(NearPlacePolicy.decide(facts(950, 5_000, 0)).action().waits());
    }

    @Test
    void aTaskDoesNotWaitIfNoEndIsDueNearIt() {
        Facts facts = new Facts(1_000, 3, null, 5_000, 0, 0.5, true);
        assertFalse(NearPlacePolicy.decide(facts).action().waits());
    }

    @Test
    void aTaskDoesNotWaitWhileTheFactorIsNotKnown() {
        Facts facts = new Facts(1_000, 1, TimeEstimate.NOW, 5_000, 0, 0.5, true);
        assertFalse(NearPlacePolicy.decide(facts).action().waits());
    }

    @Test
    void anUncertainPlaceIsWaitedForOnlyInAFullPool() {
        TimeEstimate place = new TimeEstimate(400, 2_000);
        Facts idle = new Facts(1_000, 2, place, 5_000, 0, 0, true);
        Facts full = new Facts(1_000, 2, place, 5_000, 0, 1, true);
        assertFalse(NearPlacePolicy.decide(idle).action().waits());
        assertTrue(NearPlacePolicy.decide(full).action().waits());
    }

    @Test
    void aJobThatIsLateEverywhereWaitsIfItEndsEarlierThereby() {
        assertTrue(NearPlacePolicy.decide(facts(300, -2_000, 0)).action().waits());
    }

    private static Facts ofLateLongTask(long place, long waited, double load, boolean hasRuns) {
        return new Facts(7_000, 1.5, new TimeEstimate(place, place), -1_000, waited, load, hasRuns);
    }

    @Test
    void aJobWithNothingRunningWaitsAtMostTwoSecondsInAPoolThatIsHalfEmpty() {
        assertFalse(NearPlacePolicy.decide(ofLateLongTask(3_200, 0, 0.3, false)).action().waits());
        assertTrue(NearPlacePolicy.decide(ofLateLongTask(3_200, 0, 0.3, true)).action().waits());
        assertTrue(NearPlacePolicy.decide(ofLateLongTask(3_200, 0, 0.5, false)).action().waits());
        assertEquals(
                400, NearPlacePolicy.decide(ofLateLongTask(400, 1_500, 0.3, false)).untilMillis());
        assertFalse(
                NearPlacePolicy.decide(ofLateLongTask(400, 2_000, 0.3, false)).action().waits());
    }

    @Test
    void aWaitIsBoundedAndNeverMakesAJobLateThatWouldBeInTimeAway() {
        Random random = new Random(7);
        for (int i = 0; i < RANDOM_FACTS; i++) {
            long due = random.nextInt(3_000);
            Facts facts =
                    new Facts(
                            random.nextInt(3_000),
                            1 + random.nextDouble() * 3,
                            new TimeEstimate(due, due + random.nextInt(3_000)),
                            random.nextInt(9_000) - 1_000,
                            random.nextInt(3_000),
                            random.nextDouble(),
                            random.nextBoolean());
            Decision decision = NearPlacePolicy.decide(facts);
            if (!decision.action().waits()) {
                assertEquals(0, decision.untilMillis());
                continue;
            }
            long loss = facts.lossMillis();
            assertTrue(decision.untilMillis() + facts.waitedMillis() <= loss, facts.toString());
            boolean isInTimeAway = facts.slackMillis() >= loss;
            boolean isInTimeAfter = facts.slackMillis() - decision.untilMillis() >= loss;
            assertTrue(!isInTimeAway || isInTimeAfter, facts.toString());
        }
    }
}
