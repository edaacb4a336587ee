package org.endivetray.policy.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load: minions that fail all that they start for 6.5 s, the only ones on which a long-running task
 * can run, or one of many. Rival: the earlier policy, by which each failure prolongs the quarantine
 * from its own time on, whenever its run was started, and no task is started in a quarantine.
 *
 * <p>This class is not thread-safe.
 */
class MinionHealthTest {
    private static final long STEP_MILLIS = 10;
    private static final long SOUND_AFTER_MILLIS = 6_500;
    private static final long FAILS_AFTER_MILLIS = 150;
    private static final long END_MILLIS = 40_000;

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** A policy under test. */
    private interface Policy {
        void onFailure(long startedMillis, long nowMillis);

        boolean mayStart(long nowMillis, boolean hasAlternative);
    }

    private static final class Present implements Policy {
        private MinionHealth mHealth = MinionHealth.SOUND;

        @Override
        public void onFailure(long startedMillis, long nowMillis) {
            MinionHealth before = mHealth;
            mHealth = mHealth.afterFailure(nanos(startedMillis), nanos(nowMillis));
            if (mHealth != before && mHealth.needsQuarantine()) {
                mHealth = mHealth.quarantined(nanos(nowMillis));
            }
        }

        @Override
        public boolean mayStart(long nowMillis, boolean hasAlternative) {
            return !mHealth.isQuarantined(nanos(nowMillis))
                    || !hasAlternative && mHealth.mayProbe(nanos(nowMillis));
        }
    }

    private static final class Earlier implements Policy {
        private int mFailures;
        private long mUntilMillis;

        @Override
        public void onFailure(long startedMillis, long nowMillis) {
            mFailures++;
            if (mFailures >= 3) {
                mUntilMillis = nowMillis + (1_000L << Math.min(mFailures - 3, 3));
            }
        }

        @Override
        public boolean mayStart(long nowMillis, boolean hasAlternative) {
            return nowMillis >= mUntilMillis;
        }
    }

    /**
     * Plays eight tasks that are started together whenever they may be. Returns the time at which
     * they run for good, after a first failure of a run of three seconds that began early.
     */
    private static long millisUntilRunning(Policy policy) {
        List<Long> started = new ArrayList<>();
        for (long now = 5_000; now < END_MILLIS; now += STEP_MILLIS) {
            boolean isSound = now >= SOUND_AFTER_MILLIS;
            if (now == 8_000) {
                policy.onFailure(5_000, now);
            }
            for (long start : List.copyOf(started)) {
                if (start < SOUND_AFTER_MILLIS && now - start >= FAILS_AFTER_MILLIS) {
                    started.remove(start);
                    policy.onFailure(start, now);
                }
            }
            if (started.isEmpty() && policy.mayStart(now, false)) {
                for (int i = 0; i < 8; i++) {
                    started.add(now);
                }
                if (isSound) {
                    return now;
                }
            }
        }
        return END_MILLIS;
    }

    @Test
    void tasksThatCanRunNowhereElseRunSoonAfterTheirMinionsAreSoundAgain() {
        assertThat(millisUntilRunning(new Present()) - SOUND_AFTER_MILLIS).isLessThan(1_000);
        assertThat(millisUntilRunning(new Earlier()) - SOUND_AFTER_MILLIS).isGreaterThan(6_000);
    }

    /** Returns how many runs of short tasks a minion among many has failed within the time. */
    private static int failedRuns(Policy policy) {
        int failed = 0;
        long free = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            if (now >= free && policy.mayStart(now, true)) {
                free = now + FAILS_AFTER_MILLIS;
                policy.onFailure(now, free);
                failed++;
            }
        }
        return failed;
    }

    @Test
    void aMinionAmongManyThatFailsAllIsLeftOutAsMuchAsBefore() {
        assertThat(failedRuns(new Present())).isLessThanOrEqualTo(failedRuns(new Earlier()));
    }

    /**
     * Guards against the quarantine of sound minions of a pool that has long-running tasks only.
     */
    @Test
    void failuresThatAreFarApartDoNotAddUp() {
        Present policy = new Present();
        for (long now = 0; now < 200_000; now += 20_000) {
            policy.onFailure(now, now + 15_000);
            assertThat(policy.mayStart(now + 15_000, true)).isTrue();
        }
    }

    @Test
    void aRunThatWasOrderedBeforeTheQuarantineDoesNotProlongIt() {
        Present policy = new Present();
        for (int i = 0; i < 3; i++) {
            policy.onFailure(i, 100 + i);
        }
        assertThat(policy.mayStart(1_000, true)).isFalse();
        policy.onFailure(50, 1_050);
        assertThat(policy.mayStart(1_110, true)).isTrue();
    }
}
