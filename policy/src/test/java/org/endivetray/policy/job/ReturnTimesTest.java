package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests the return times of refused callers under a burst of far more submissions than a shard may
 * hold, against one constant return time for all.
 *
 * <p>Callers obey the whole seconds of the header and return at most four times.
 *
 * <p>This class is not thread-safe.
 */
class ReturnTimesTest {
    private static final int SEEDS = 10;
    private static final int LIMIT = 100;
    private static final int ENDS_PER_SECOND = 50;
    private static final int BURST = 500;
    private static final double LATER_PER_SECOND = 15;
    private static final long LATER_MILLIS = 20_000;
    private static final int MAX_RETURNS = 4;
    private static final long CONSTANT_MILLIS = 2_000;
    private static final long END_MILLIS = 60_000;

    /** A submission that arrives. */
    private record Arrival(long millis, int number, int returns) {}

    /**
     * What became of the callers.
     *
     * @param neverAccepted callers that were refused until they gave up
     * @param returns returns of refused callers
     * @param refusedAgain returns that were refused
     */
    private record Outcome(int neverAccepted, int returns, int refusedAgain) {}

    private static Outcome run(long seed, boolean hasReturnTimes) {
        Random random = new Random(seed);
        PriorityQueue<Arrival> arrivals =
                new PriorityQueue<>(Comparator.comparingLong(Arrival::millis));
        int number = 0;
        while (number < BURST) {
            arrivals.add(new Arrival(5_000 + random.nextInt(500), number++, 0));
        }
        for (long at = 0; at < LATER_MILLIS; ) {
            at += Math.round(-Math.log(1 - random.nextDouble()) * 1e3 / LATER_PER_SECOND);
            arrivals.add(new Arrival(at, number++, 0));
        }
        ReturnTimes times = new ReturnTimes();
        Deque<Integer> active = new ArrayDeque<>();
        int neverAccepted = 0;
        int returns = 0;
        int refusedAgain = 0;
        for (long now = 0; now < END_MILLIS; now++) {
            if (now % (1_000 / ENDS_PER_SECOND) == 0 && !active.isEmpty()) {
                active.poll();
                times.onEnded(1, now);
            }
            while (!arrivals.isEmpty() && arrivals.peek().millis() <= now) {
                Arrival arrival = arrivals.poll();
                String id = Integer.toString(arrival.number());
                int free = LIMIT - active.size();
                returns += arrival.returns() > 0 ? 1 : 0;
                if (hasReturnTimes ? times.mayEnter(id, free, now) : free > 0) {
                    times.onAccepted(id);
                    active.add(arrival.number());
                    continue;
                }
                refusedAgain += arrival.returns() > 0 ? 1 : 0;
                if (arrival.returns() == MAX_RETURNS) {
                    neverAccepted++;
                    continue;
                }
                long millis = hasReturnTimes ? times.refuse(id, now) : CONSTANT_MILLIS;
                long header = (millis + 999) / 1_000 * 1_000;
                arrivals.add(new Arrival(now + header, arrival.number(), arrival.returns() + 1));
            }
        }
        return new Outcome(neverAccepted, returns, refusedAgain);
    }

    @Test
    void afterABurstAboveTheLimitCallersThatObeyFindAPlace() {
        int neverAccepted = 0;
        int returns = 0;
        int refusedAgain = 0;
        int rivalNeverAccepted = 0;
        int rivalRefusedAgain = 0;
        int rivalReturns = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Outcome outcome = run(seed, true);
            Outcome rival = run(seed, false);
            neverAccepted += outcome.neverAccepted();
            returns += outcome.returns();
            refusedAgain += outcome.refusedAgain();
            rivalNeverAccepted += rival.neverAccepted();
            rivalReturns += rival.returns();
            rivalRefusedAgain += rival.refusedAgain();
        }
        String figures =
                String.format(
                        "return times: never accepted %d, returns %d, refused again %d;"
                                + " constant: never accepted %d, returns %d, refused again %d",
                        neverAccepted,
                        returns,
                        refusedAgain,
                        rivalNeverAccepted,
                        rivalReturns,
                        rivalRefusedAgain);
        System.out.println(figures);
        assertEquals(0, neverAccepted, figures);
        assertTrue(rivalNeverAccepted > 0, figures);
        assertTrue(refusedAgain * 10 < rivalRefusedAgain, figures);
    }

    @Test
    void aPlaceIsKeptForACallerThatReturnsAtItsTimeAndThenGivenUp() {
        ReturnTimes times = new ReturnTimes();
        times.onEnded(50, 0);
        long returnMillis = times.refuse("first", 0);
        assertFalse(times.mayEnter("other", 1, returnMillis));
        assertTrue(times.mayEnter("first", 1, returnMillis));
        assertTrue(times.mayEnter("other", 1, returnMillis + 5_000));
    }

    @Test
    void aCallerThatReturnsEarlyKeepsItsTime() {
        ReturnTimes times = new ReturnTimes();
        times.onEnded(2, 0);
        long first = times.refuse("first", 0);
        assertTrue(first > 2_000);
        assertEquals(first - 1_000, times.refuse("first", 1_000));
    }

    @Test
    void withoutEndsTheReturnTimeIsTheDefault() {
        assertEquals(2_000, new ReturnTimes().refuse("first", 0));
    }
}
