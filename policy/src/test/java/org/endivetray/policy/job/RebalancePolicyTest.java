package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.endivetray.policy.job.RebalancePolicy.Move;
import org.endivetray.policy.job.RebalancePolicy.PoolState;
import org.junit.jupiter.api.Test;

class RebalancePolicyTest {
    private static final int CPU = 32_000;

    private static PoolState pool(String name, int workers, int idle, int pinned, long demand) {
        return state(name, false, workers, idle, pinned, demand);
    }

    private static PoolState standby(String name, int workers) {
        return state(name, true, workers, workers, 0, 0);
    }

    private static PoolState state(
            String name, boolean isStandby, int workers, int idle, int pinned, long demand) {
        List<String> ids = IntStream.range(0, idle).mapToObj(i -> name + i).toList();
        return new PoolState(name, isStandby, workers, pinned, ids, demand, CPU);
    }

    private static long movesTo(List<Move> moves, String pool) {
        return moves.stream().filter(move -> move.to().equals(pool)).count();
    }

    @Test
    void noWorkerIsMovedIfEveryPoolHasEnoughWorkers() {
        assertEquals(
                List.of(),
                RebalancePolicy.moves(List.of(pool("a", 6, 5, 1, 20_000), pool("b", 6, 6, 0, 0))));
    }

    @Test
    void idleWorkersMoveToThePoolWithTooFewWorkersForItsDemand() {
        List<Move> moves =
                RebalancePolicy.moves(
                        List.of(pool("a", 4, 0, 1, 200_000), pool("b", 8, 7, 1, 10_000)));
        assertEquals(4, movesTo(moves, "a"));
        assertTrue(moves.stream().allMatch(move -> move.from().equals("b")));
    }

    @Test
    void workersThatAreSwitchedOnMoveBeforeStandbyWorkers() {
        List<Move> moves =
                RebalancePolicy.moves(
                        List.of(
                                pool("a", 4, 0, 0, 130_000),
                                standby("off", 4),
                                pool("b", 4, 3, 0, 0)));
        assertEquals(List.of(new Move("b0", "b", "a")), moves);
    }

    @Test
    void aPoolKeepsTheWorkersThatRunLongRunningTasks() {
        List<Move> moves =
                RebalancePolicy.moves(
                        List.of(pool("a", 2, 0, 0, 500_000), pool("b", 5, 2, 4, 100_000)));
        assertEquals(1, moves.size());
    }

    @Test
    void noWorkerIsMovedTwiceAtOnce() {
        List<Move> moves =
                RebalancePolicy.moves(
                        List.of(
                                pool("a", 1, 0, 0, 400_000),
                                pool("b", 1, 0, 0, 400_000),
                                pool("c", 6, 6, 0, 0)));
        assertEquals(moves.size(), moves.stream().map(Move::worker).distinct().count());
        assertTrue(movesTo(moves, "a") > 0 && movesTo(moves, "b") > 0);
    }
}
