package org.endivetray.policy.job.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import org.endivetray.job.Resources;
import org.junit.jupiter.api.Test;

/**
 * Shares of pools in a cap, in units of one thousandth of a core.
 *
 * <p>This class is not thread-safe.
 */
class QuotaPolicyTest {
    private static Resources cpu(long millis) {
        return new Resources(millis, 0, 0);
    }

    private static QuotaShare share(long granted, long wanted, long unit, long since) {
        return new QuotaShare(cpu(granted), cpu(wanted), cpu(unit), since);
    }

    private static QuotaLedger ledger(Map<String, QuotaShare> shares) {
        return new QuotaLedger(shares, Resources.NONE, 0);
    }

    private static QuotaDemand demand(long used, long waiting, long unit) {
        return new QuotaDemand(cpu(used), cpu(waiting), cpu(unit), true, false, false);
    }

    private static Map<String, Long> allocated(long cap, QuotaLedger ledger) {
        Map<String, Long> amounts = new TreeMap<>();
        QuotaPolicy.allocate(cpu(cap), ledger)
                .forEach((pool, amount) -> amounts.put(pool, amount.cpuMillis()));
        return amounts;
    }

    @Test
    void aPoolHoldsMoreThanItNeedsWhileThereIsEnough() {
        QuotaShare next =
                QuotaPolicy.next(cpu(1_000), QuotaLedger.EMPTY, "a", demand(0, 100, 10), 1);
        assertThat(next.granted()).isEqualTo(cpu(150));
        assertThat(next.wanted()).isEqualTo(cpu(100));
    }

    @Test
    void aPoolThatHoldsEnoughChangesNothing() {
        QuotaLedger ledger = ledger(Map.of("a", share(150, 100, 10, 1)));
        QuotaShare next = QuotaPolicy.next(cpu(1_000), ledger, "a", demand(90, 20, 10), 2);
        assertThat(QuotaPolicy.isWorthStoring(cpu(1_000), ledger, "a", next)).isFalse();
    }

    @Test
    void noPoolAcquiresWhatAnotherHolds() {
        QuotaLedger ledger = ledger(Map.of("a", share(80, 80, 10, 1)));
        QuotaShare next = QuotaPolicy.next(cpu(100), ledger, "b", demand(0, 100, 10), 2);
        assertThat(next.granted()).isEqualTo(cpu(20));
    }

    @Test
    void roomIsSharedFairlyInWholeUnits() {
        QuotaLedger ledger =
                ledger(
                        Map.of(
                                "a", share(0, 100, 10, 1),
                                "b", share(0, 20, 10, 2),
                                "c", share(0, 100, 30, 3)));
        assertThat(allocated(100, ledger)).containsEntry("a", 50L).containsEntry("b", 20L);
        assertThat(allocated(100, ledger)).containsEntry("c", 30L);
    }

    @Test
    void ofPoolsThatCannotAllHoldAUnitTheOneThatHasWaitedLongestComesFirst() {
        QuotaLedger ledger =
                ledger(
                        Map.of(
                                "a", share(60, 60, 60, 5),
                                "b", share(0, 60, 60, 4)));
        assertThat(allocated(100, ledger)).isEqualTo(Map.of("b", 60L));
        assertThat(QuotaPolicy.limit(cpu(100), ledger, "a")).isEqualTo(Resources.NONE);
    }

    @Test
    void aPoolThatHasHadItsTurnMovesBehindAPoolWithoutRoom() {
        QuotaLedger ledger =
                ledger(
                        Map.of(
                                "a", share(60, 120, 60, 3),
                                "b", share(0, 60, 60, 4)));
        QuotaDemand over = new QuotaDemand(cpu(60), cpu(60), cpu(60), true, false, true);
        QuotaShare next = QuotaPolicy.next(cpu(100), ledger, "a", over, 9);
        assertThat(next.since()).isEqualTo(9);
        assertThat(next.granted()).isEqualTo(cpu(60));
    }

    @Test
    void aPoolReturnsRoomAboveItsFairShareAsItsRunsEnd() {
        QuotaLedger ledger =
                ledger(
                        Map.of(
                                "a", share(100, 100, 10, 1),
                                "b", share(0, 100, 10, 2)));
        QuotaShare busy = QuotaPolicy.next(cpu(100), ledger, "a", demand(80, 20, 10), 3);
        assertThat(busy.granted()).isEqualTo(cpu(80));
        QuotaShare later = QuotaPolicy.next(cpu(100), ledger, "a", demand(30, 70, 10), 3);
        assertThat(later.granted()).isEqualTo(cpu(50));
    }

    @Test
    void nothingStartsWhileTheSharesExceedTheCap() {
        QuotaLedger ledger = ledger(Map.of("a", share(90, 90, 10, 1), "b", share(10, 10, 10, 2)));
        assertThat(QuotaPolicy.limit(cpu(50), ledger, "b")).isEqualTo(Resources.NONE);
        QuotaShare next = QuotaPolicy.next(cpu(50), ledger, "a", demand(60, 30, 10), 3);
        assertThat(next.granted()).isEqualTo(cpu(60));
    }

    @Test
    void aPoolWhoseEarlierOwnersMayStillStartTasksReturnsNothing() {
        QuotaLedger ledger = ledger(Map.of("a", share(90, 90, 10, 1)));
        QuotaDemand unsettled = new QuotaDemand(cpu(0), cpu(0), Resources.NONE, false, true, false);
        assertThat(QuotaPolicy.next(cpu(100), ledger, "a", unsettled, 2).granted())
                .isEqualTo(cpu(90));
    }

    @Test
    void anIdlePoolHoldsNothing() {
        QuotaLedger ledger = ledger(Map.of("a", share(90, 60, 10, 1)));
        QuotaDemand idle = new QuotaDemand(cpu(0), cpu(0), Resources.NONE, true, true, false);
        QuotaShare next = QuotaPolicy.next(cpu(100), ledger, "a", idle, 2);
        assertThat(ledger.with("a", next).shares()).isEmpty();
    }

    @Test
    void amountsThatTheCapDoesNotLimitDoNotCount() {
        Resources cap = new Resources(0, 500, 0);
        QuotaDemand demand =
                new QuotaDemand(
                        Resources.NONE,
                        new Resources(90_000, 100, 2),
                        new Resources(9_000, 10, 1),
                        true,
                        false,
                        false);
        QuotaShare next = QuotaPolicy.next(cap, QuotaLedger.EMPTY, "a", demand, 1);
        assertThat(next.granted()).isEqualTo(new Resources(0, 150, 0));
    }
}
