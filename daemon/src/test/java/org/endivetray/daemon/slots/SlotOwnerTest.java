package org.endivetray.daemon.slots;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.endivetray.policy.SlotAllocator;
import org.endivetray.wire.gen.SlotCell;
import org.endivetray.wire.gen.SlotReport;
import org.junit.jupiter.api.Test;

/**
 * Tests which daemons a slot owner notifies after a report.
 *
 * <p>This class is not thread-safe.
 */
class SlotOwnerTest {
    private static final String MINION = "10.0.0.1:80";

    private static SlotReport report(long seq, int waiting) {
        return new SlotReport("charts", waiting, 0, List.of(new SlotCell(MINION, 0, 0)), seq);
    }

    @Test
    void aDaemonThatHasNotAppliedItsGrantIsNotifiedAlsoAfterAReportOutOfOrder() {
        SlotAllocator allocator = new SlotAllocator(1_000_000_000, List.of("a"), 0);
        allocator.setCapacity(Map.of(MINION, 8));
        SlotOwner.daemonsToNotify(allocator, "a", report(2, 4), 1);
        assertThat(allocator.grantSeqOf("a")).isPositive();
        assertThat(SlotOwner.daemonsToNotify(allocator, "a", report(1, 4), 2)).contains("a");
    }
}
