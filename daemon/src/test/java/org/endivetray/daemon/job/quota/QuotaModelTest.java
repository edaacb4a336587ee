package org.endivetray.daemon.job.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.endivetray.daemon.job.quota.QuotaWorld.Owner;
import org.endivetray.daemon.job.quota.QuotaWorld.Step;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving of the steps of a few owners up to a depth; a state that was reached
 * before is not explored again.
 *
 * <p>This class is not thread-safe.
 */
class QuotaModelTest {
    /** One step of one owner, or a change of the cap if the owner is negative. */
    private record Move(int owner, Step step) {}

    private record Path(Path before, Move move, int length) {}

    private interface Start {
        QuotaWorld world();
    }

    private static QuotaWorld replay(Start start, Path path) {
        Deque<Move> moves = new ArrayDeque<>();
        for (Path each = path; each != null; each = each.before()) {
            moves.push(each.move());
        }
        QuotaWorld world = start.world();
        moves.forEach(move -> take(world, move));
        return world;
    }

    private static void take(QuotaWorld world, Move move) {
        if (move.owner() < 0) {
            world.setCap(-move.owner());
        } else {
            move.step().take(world, world.mOwners.get(move.owner()));
        }
    }

    /** Explores all states up to a depth and returns their number. */
    private static int explore(Start start, List<Step> steps, List<Integer> caps, int depth) {
        Set<String> seen = new HashSet<>();
        Deque<Path> open = new ArrayDeque<>();
        seen.add(start.world().state());
        expand(start, null, steps, caps, seen, open);
        while (!open.isEmpty()) {
            Path path = open.poll();
            if (path.length() < depth) {
                expand(start, path, steps, caps, seen, open);
            }
        }
        return seen.size();
    }

    private static void expand(
            Start start,
            Path path,
            List<Step> steps,
            List<Integer> caps,
            Set<String> seen,
            Deque<Path> open) {
        int owners = replay(start, path).mOwners.size();
        Stream<Move> moves =
                Stream.concat(
                        Stream.iterate(0, owner -> owner < owners, owner -> owner + 1)
                                .flatMap(
                                        owner -> steps.stream().map(step -> new Move(owner, step))),
                        caps.stream().map(cap -> new Move(-cap, null)));
        moves.forEach(
                move -> {
                    Path next = new Path(path, move, path == null ? 1 : path.length() + 1);
                    QuotaWorld world = replay(start, next);
                    assertThat(world.mWorstExcess).as("after %s", next).isLessThanOrEqualTo(0);
                    if (seen.add(world.state())) {
                        open.add(next);
                    }
                });
    }

    /** Returns two owners that have each acquired what they can of a cap. */
    private static QuotaWorld started(int pools, int cap) {
        QuotaWorld world = new QuotaWorld(pools, cap, cap);
        for (Owner owner : List.copyOf(world.mOwners)) {
            Step.WATCH.take(world, owner);
            Step.SEND.take(world, owner);
            Step.EXECUTE.take(world, owner);
        }
        return world;
    }

    @Test
    void noInterleavingOfSendsLateCommitsAndStartsExceedsTheCap() {
        List<Step> steps =
                List.of(
                        Step.SEND_LATER,
                        Step.EXECUTE,
                        Step.LOSE_ANSWER,
                        Step.TIME_OUT,
                        Step.EXECUTE_LATE,
                        Step.WATCH,
                        Step.START,
                        Step.END);
        int states = explore(() -> started(2, 2), steps, List.of(), 10);
        System.out.println("quota model: two pools states=" + states);
        assertThat(states).isGreaterThan(1_000);
    }

    @Test
    void noInterleavingWithTakeoversExceedsTheCap() {
        List<Step> steps =
                List.of(
                        Step.SEND_LATER,
                        Step.EXECUTE,
                        Step.TIME_OUT,
                        Step.EXECUTE_LATE,
                        Step.WATCH,
                        Step.START,
                        Step.TAKE_OVER,
                        Step.HEAR);
        int states = explore(() -> started(2, 2), steps, List.of(), 8);
        System.out.println("quota model: takeovers states=" + states);
        assertThat(states).isGreaterThan(1_000);
    }

    @Test
    void noInterleavingAfterTheCapWasLoweredExceedsTheHighestCapInForce() {
        List<Step> steps =
                List.of(Step.SEND, Step.EXECUTE, Step.WATCH, Step.START, Step.END, Step.LEARN_CAP);
        explore(() -> started(2, 2), steps, List.of(1), 13);
        int states = explore(() -> started(2, 3), steps, List.of(1, 2), 10);
        System.out.println("quota model: lowered cap states=" + states);
        assertThat(states).isGreaterThan(1_000);
    }

    @Test
    void noInterleavingOfThreePoolsExceedsTheCap() {
        List<Step> steps = List.of(Step.SEND_LATER, Step.EXECUTE, Step.WATCH, Step.START, Step.END);
        int states = explore(() -> started(3, 2), steps, List.of(), 10);
        System.out.println("quota model: three pools states=" + states);
        assertThat(states).isGreaterThan(1_000);
    }
}
