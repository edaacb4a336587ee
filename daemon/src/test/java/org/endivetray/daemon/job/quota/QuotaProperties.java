package org.endivetray.daemon.job.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.endivetray.daemon.job.quota.QuotaWorld.Owner;
import org.endivetray.daemon.job.quota.QuotaWorld.Step;

/**
 * Checks the caps of accounts under random schedules of all steps.
 *
 * <p>This class is not thread-safe.
 */
class QuotaProperties {
    private static final int STEPS = 400;

    private static QuotaWorld play(long seed) {
        Random random = new Random(seed);
        int pools = 2 + random.nextInt(4);
        int cap = 1 + random.nextInt(12);
        QuotaWorld world = new QuotaWorld(pools, cap, 1 + random.nextInt(cap + 2));
        Step[] steps = Step.values();
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(60) == 0) {
                world.setCap(1 + random.nextInt(12));
            }
            List<Owner> owners = world.mOwners;
            Owner owner = owners.get(random.nextInt(owners.size()));
            steps[random.nextInt(steps.length)].take(world, owner);
        }
        return world;
    }

    @Property(tries = 3_000, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void noStartExceedsTheHighestCapInForce(@ForAll @LongRange(min = 0) long seed) {
        assertThat(play(seed).mWorstExcess).isLessThanOrEqualTo(0);
    }

    /** Guards against room that stays with pools that do not need it, or is lost in takeovers. */
    @Property(tries = 500, seed = "20261208", shrinking = ShrinkingMode.OFF)
    void allRoomIsUsedOnceTheFailuresHaveEnded(@ForAll @LongRange(min = 0) long seed) {
        QuotaWorld world = play(seed);
        world.settle();
        int running = world.mOwners.stream().mapToInt(owner -> owner.mUsed).sum();
        assertThat(running).as(world.state()).isGreaterThanOrEqualTo(world.usable());
    }
}
