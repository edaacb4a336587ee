package org.endivetray.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RequestPoliciesTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @Property(tries = 300, seed = "31")
    void sharesAddUpToTheTotalAndAreMaxMinFair(
            @ForAll @IntRange(min = 0, max = 80) int total,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 60) Integer> demands) {
        Map<String, Integer> demand = new HashMap<>();
        for (int i = 0; i < demands.size(); i++) {
            demand.put("d" + i, demands.get(i));
        }
        Map<String, Integer> shares = MaxMinShare.divide(total, demand);
        assertThat(shares.values().stream().mapToInt(share -> share).sum()).isEqualTo(total);
        int largest = shares.values().stream().mapToInt(share -> share).max().orElse(0);
        shares.forEach(
                (name, share) ->
                        assertThat(share)
                                .isGreaterThanOrEqualTo(Math.min(demand.get(name), largest - 1)));
    }

    @Test
    void retriesAreATenthOfSuccessesAndStopUnderOverload() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        while (budget.tryTake(false)) {
            retries++;
        }
        assertThat(retries).isEqualTo((int) RetryBudget.MAX_BALANCE);
        for (int i = 0; i < 100; i++) {
            budget.onSuccess();
        }
        assertThat(budget.tryTake(true)).isFalse();
        retries = 0;
        while (budget.tryTake(false)) {
            retries++;
        }
        assertThat(retries).isBetween(9, 10);
    }

    @Test
    void aMinionEjectedForConsecutiveFailuresIsReadmittedByOneProbe() {
        MinionHealth health = new MinionHealth();
        for (int i = 0; i < MinionHealth.FAILURES_TO_EJECT; i++) {
            assertThat(health.admits(true, 0)).isTrue();
            health.onSent();
            health.onFailure(true, 0);
        }
        assertThat(health.isEjected()).isTrue();
        assertThat(health.admits(true, SECOND / 2)).isFalse();
        assertThat(health.admits(false, 2 * SECOND)).as("a probe must be repeatable").isFalse();
        assertThat(health.admits(true, 2 * SECOND)).isTrue();
        health.onSent();
        assertThat(health.admits(true, 2 * SECOND)).as("only one probe is in flight").isFalse();
        health.onFailure(true, 2 * SECOND);
        assertThat(health.admits(true, 3 * SECOND)).as("the ejection time doubles").isFalse();
        assertThat(health.admits(true, 4 * SECOND)).isTrue();
        health.onSent();
        health.onSuccess();
        assertThat(health.isEjected()).isFalse();
    }

    @Test
    void aMinionIsNotEjectedIfTooFewOthersRemain() {
        MinionHealth health = new MinionHealth();
        for (int i = 0; i < 20; i++) {
            health.onFailure(false, 0);
        }
        assertThat(health.isEjected()).isFalse();
    }

    @Test
    void aLocalMinionIsPreferredUntilItIsMuchMoreLoaded() {
        MinionChooser chooser = new MinionChooser(1);
        Fixed local = new Fixed(1, 8, true);
        Fixed remote = new Fixed(0, 8, false);
        assertThat(chooser.leastLoaded(List.of(local, remote))).contains(local);
        Fixed moreLoaded = new Fixed(4, 8, true);
        assertThat(chooser.leastLoaded(List.of(moreLoaded, remote))).contains(remote);
        Fixed full = new Fixed(8, 8, true);
        assertThat(chooser.leastLoaded(List.of(full))).isEmpty();
    }

    @Test
    void aKeyChangesOwnerOnlyIfItsOwnerLeaves() {
        Set<String> daemons = new TreeSet<>(List.of("e1", "e2", "e3", "e4"));
        for (int i = 0; i < 200; i++) {
            String before = RendezvousHash.owner("k" + i, daemons).orElseThrow();
            Set<String> fewer = new TreeSet<>(daemons);
            fewer.remove("e3");
            String after = RendezvousHash.owner("k" + i, fewer).orElseThrow();
            assertThat(before.equals("e3") || before.equals(after)).isTrue();
        }
    }

    /** A minion with fixed values. */
    private record Fixed(int inFlight, int limit, boolean isInLocalZone) implements MinionSlots {}
}
