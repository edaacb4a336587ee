package org.endivetray.policy.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.endivetray.policy.job.WaveOrder.Candidate;
import org.junit.jupiter.api.Test;

class WaveOrderTest {
    private static final Candidate IDLE = new Candidate("idle", false, 0.1);
    private static final Candidate BUSY = new Candidate("busy", false, 2.4);
    private static final Candidate PINNED = new Candidate("pinned", true, 2.2);

    private static String next(List<Candidate> candidates, int underWay, int pinnedUnderWay) {
        return WaveOrder.next(candidates, underWay, pinnedUnderWay)
                .map(Candidate::worker)
                .orElse("");
    }

    @Test
    void aWorkerWithLongRunningTasksGoesFirst() {
        assertEquals("pinned", next(List.of(IDLE, BUSY, PINNED), 0, 0));
    }

    @Test
    void theWorkerWhoseOutageCostsLeastGoesNextUntilAPinnedWorkerIsDue() {
        assertEquals("idle", next(List.of(IDLE, BUSY, PINNED), 1, 1));
        assertEquals("idle", next(List.of(IDLE, BUSY, PINNED), 2, 1));
        assertEquals("pinned", next(List.of(IDLE, BUSY, PINNED), 3, 1));
    }

    @Test
    void theOtherKindIsChosenIfNoneOfTheDueKindIsLeft() {
        assertEquals("idle", next(List.of(IDLE, BUSY), 0, 0));
        assertEquals("pinned", next(List.of(PINNED), 1, 1));
    }

    @Test
    void noWorkerIsChosenWithoutCandidates() {
        assertEquals(Optional.empty(), WaveOrder.next(List.of(), 0, 0));
    }
}
