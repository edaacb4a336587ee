package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class ShardAssignmentTest {
    private static final Set<String> SHARDS = Set.of("s1", "s2", "s3", "s4");

    private static List<String> firstChoices(
            Map<String, String> owners, Map<String, Integer> daemons) {
        Set<String> free = new TreeSet<>(SHARDS);
        free.removeAll(owners.keySet());
        return ShardAssignment.candidates(free, owners, daemons).values().stream()
                .map(order -> order.get(0))
                .sorted()
                .toList();
    }

    @Test
    void equalDaemonsGetEqualShares() {
        assertEquals(
                List.of("a", "a", "b", "b"), firstChoices(Map.of(), Map.of("a", 750, "b", 750)));
    }

    @Test
    void largeHostsGetShardsBeforeSmallOnes() {
        assertEquals(
                List.of("big1", "big1", "big2", "big2"),
                firstChoices(
                        Map.of(), Map.of("big1", 1_500, "big2", 1_500, "small", 360, "tiny", 100)));
    }

    @Test
    void aDaemonIsOverloadedIfAnotherWouldBeLessLoaded() {
        Map<String, String> owners = Map.of("s1", "a", "s2", "a");
        assertTrue(ShardAssignment.isOverloaded("a", owners, Map.of("a", 750, "b", 750)));
        assertFalse(ShardAssignment.isOverloaded("a", owners, Map.of("a", 1_500, "b", 360)));
        assertFalse(ShardAssignment.isOverloaded("b", owners, Map.of("a", 750, "b", 750)));
    }

    @Test
    void aSmallHostIsOverloadedBesideAnIdleLargeHost() {
        assertTrue(
                ShardAssignment.isOverloaded(
                        "small", Map.of("s1", "small"), Map.of("small", 360, "big", 1_500)));
    }

    @Test
    void aDaemonThatIsNotLiveIsNotOverloaded() {
        assertFalse(ShardAssignment.isOverloaded("x", Map.of("s1", "x"), Map.of("a", 750)));
    }
}
