package org.endivetray.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WaitQueueProperties {
    private static WaitQueue.Entry<String> entry(
            String member, int weight, boolean urgent, long deadline) {
        return new WaitQueue.Entry<>(member + deadline, member, weight, urgent, deadline);
    }

    @Property(tries = 200, seed = "21")
    void theBoundsHoldAndNoEntryIsLostForAnyOrderOfCalls(@ForAll Random random) {
        WaitQueue<String> queue = new WaitQueue<>(20, 8);
        List<WaitQueue.Entry<String>> waiting = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            if (random.nextBoolean()) {
                String member = "m" + random.nextInt(4);
                WaitQueue.Entry<String> added =
                        entry(member, 1 + random.nextInt(3), random.nextBoolean(), step);
                long ofMember =
                        waiting.stream().filter(known -> known.member().equals(member)).count();
                boolean refused = queue.offer(added).isPresent();
                assertThat(refused).isEqualTo(waiting.size() >= 20 || ofMember >= 8);
                if (!refused) {
                    waiting.add(added);
                }
            } else if (random.nextInt(4) == 0 && !waiting.isEmpty()) {
                assertThat(queue.remove(waiting.remove(random.nextInt(waiting.size())))).isTrue();
            } else {
                queue.poll().ifPresent(polled -> assertThat(waiting.remove(polled)).isTrue());
            }
            assertThat(queue.size()).isEqualTo(waiting.size());
        }
    }

    @Property(tries = 50, seed = "22")
    void membersShareByWeightEvenIfOneSendsManyMoreRequests(
            @ForAll @IntRange(min = 1, max = 4) int weight) {
        WaitQueue<String> queue = new WaitQueue<>(10_000, 10_000);
        for (int i = 0; i < 1_000; i++) {
            queue.offer(entry("flood", 1, false, i));
        }
        for (int i = 0; i < 200; i++) {
            queue.offer(entry("modest", weight, false, 5_000 + i));
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            served.merge(queue.poll().orElseThrow().member(), 1, Integer::sum);
        }
        int fair = 100 * weight / (weight + 1);
        assertThat(served.get("modest")).isBetween(fair - 2, fair + 2);
    }

    @Test
    void urgentEntriesGoFirstWithoutStarvingNonUrgentOnes() {
        WaitQueue<String> queue = new WaitQueue<>(1_000, 1_000);
        for (int i = 0; i < 100; i++) {
            queue.offer(entry("a", 1, true, i));
            queue.offer(entry("a", 1, false, 1_000 + i));
        }
        int nonUrgent = 0;
        for (int i = 0; i < 50; i++) {
            nonUrgent += queue.poll().orElseThrow().deadlineNanos() >= 1_000 ? 1 : 0;
        }
        assertThat(nonUrgent).isEqualTo(50 / WaitQueue.NON_URGENT_PERIOD);
    }

    @Test
    void theEarliestDeadlineOfAMemberGoesFirst() {
        WaitQueue<String> queue = new WaitQueue<>(10, 10);
        queue.offer(entry("a", 1, false, 30));
        queue.offer(entry("a", 1, false, 10));
        assertThat(queue.poll().orElseThrow().deadlineNanos()).isEqualTo(10);
    }

    @Test
    void expiredEntriesAreRemovedAndReported() {
        WaitQueue<String> queue = new WaitQueue<>(10, 10);
        queue.offer(entry("a", 1, false, 30));
        queue.offer(entry("b", 1, true, 10));
        List<String> expired = new ArrayList<>();
        queue.expire(20, expiring -> expired.add(expiring.member()));
        assertThat(expired).containsExactly("b");
        assertThat(queue.size()).isEqualTo(1);
    }
}
