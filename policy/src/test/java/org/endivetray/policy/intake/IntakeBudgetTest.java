package org.endivetray.policy.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.endivetray.policy.intake.IntakeBudget.Reservation;
import org.junit.jupiter.api.Test;

/** Tests which bodies a daemon begins to receive while many senders stop short of their end. */
class IntakeBudgetTest {
    private static final int LARGE = IntakeLimits.MAX_BODY_BYTES;
    private static final int SMALL = 300;
    private static final long BUDGET = 4L << 20;
    private static final long START = 1_000_000;

    private final IntakeBudget mBudget = new IntakeBudget(BUDGET);
    private final List<Integer> mEvicted = new ArrayList<>();

    /** Reserves room for bodies of one size until one is refused; returns those that fit. */
    private List<Reservation> fill(int bytes, long now) {
        List<Reservation> admitted = new ArrayList<>();
        while (true) {
            int number = admitted.size();
            Reservation body = new Reservation(() -> mEvicted.add(number));
            if (!mBudget.reserve(body, bytes, now)) {
                return admitted;
            }
            admitted.add(body);
        }
    }

    private boolean admits(int bytes, long now) {
        return mBudget.reserve(new Reservation(() -> {}), bytes, now);
    }

    @Test
    void aBodyOfTheLargestSizeFitsTheSmallestBudget() {
        IntakeBudget smallest = new IntakeBudget(IntakeLimits.MIN_BODY_BYTES);
        assertThat(smallest.reserve(new Reservation(() -> {}), LARGE, START)).isTrue();
    }

    @Test
    void largeBodiesLeaveAQuarterToSmallOnes() {
        assertThat(fill(LARGE, START)).hasSize(12);
        assertThat(mBudget.reservedBytes()).isEqualTo(BUDGET / 4 * 3);
        assertThat(fill(SMALL, START)).hasSizeGreaterThan(1_000);
        assertThat(mBudget.reservedBytes()).isLessThanOrEqualTo(BUDGET);
        assertThat(mEvicted).isEmpty();
    }

    @Test
    void aLargeBodyIsRefusedAtOnceWhileTheOthersArriveFast() {
        List<Reservation> bodies = fill(LARGE, START);
        bodies.forEach(body -> mBudget.onReceived(body, LARGE - 1));
        assertThat(admits(LARGE, START + 2_000)).isFalse();
        assertThat(mEvicted).isEmpty();
    }

    @Test
    void theOldestSlowBodyGivesWay() {
        fill(LARGE, START);
        assertThat(admits(LARGE, START + 999)).isFalse();
        assertThat(admits(LARGE, START + 1_000)).isTrue();
        assertThat(mEvicted).containsExactly(0);
    }

    @Test
    void aBodyThatTricklesIsSlowThoughItNeverPauses() {
        List<Reservation> bodies = fill(SMALL, START);
        for (int i = 0; i < 200; i++) {
            bodies.forEach(body -> mBudget.onReceived(body, 1));
        }
        assertThat(admits(SMALL, START + 1_000)).isTrue();
        assertThat(mEvicted).containsExactly(0);
    }

    @Test
    void aLargeBodyDoesNotEvictSmallOnes() {
        fill(SMALL, START);
        assertThat(admits(LARGE, START + 60_000)).isFalse();
        assertThat(mEvicted).isEmpty();
    }

    @Test
    void aBodyThatWasReceivedCompletelyIsNotEvicted() {
        fill(LARGE, START).forEach(mBudget::onComplete);
        assertThat(admits(LARGE, START + 60_000)).isFalse();
        assertThat(mEvicted).isEmpty();
    }

    @Test
    void aBodyThatGrowsPastTheSmallSizeCountsAsLarge() {
        fill(LARGE, START);
        Reservation growing = new Reservation(() -> {});
        assertThat(mBudget.reserve(growing, IntakeBudget.MAX_SMALL_BYTES, START)).isTrue();
        assertThat(mBudget.reserve(growing, 2 * IntakeBudget.MAX_SMALL_BYTES, START)).isFalse();
        mBudget.release(growing);
        assertThat(mBudget.reservedBytes()).isEqualTo(BUDGET / 4 * 3);
    }

    @Test
    void theRoomOfABodyIsReturnedOnce() {
        List<Reservation> bodies = fill(LARGE, START);
        bodies.forEach(mBudget::release);
        bodies.forEach(mBudget::release);
        assertThat(mBudget.reservedBytes()).isZero();
        assertThat(mBudget.reserve(bodies.get(0), SMALL, START)).isFalse();
        assertThat(fill(LARGE, START)).hasSize(bodies.size());
    }

    @Test
    void anEvictedBodyIsReleasedBeforeItsConnectionIsClosed() {
        List<Long> reserved = new ArrayList<>();
        IntakeBudget budget = new IntakeBudget(IntakeLimits.MIN_BODY_BYTES);
        Reservation first = new Reservation(() -> reserved.add(budget.reservedBytes()));
        assertThat(budget.reserve(first, LARGE, START)).isTrue();
        assertThat(budget.reserve(new Reservation(() -> {}), LARGE, START + 1_000)).isTrue();
        assertThat(reserved).containsExactly(0L);
    }
}
