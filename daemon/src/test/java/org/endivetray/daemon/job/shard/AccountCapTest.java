package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobSpec;
import org.endivetray.job.Resources;
import org.endivetray.job.StepSpec;
import org.endivetray.job.TaskEnd;
import org.endivetray.platform.RecordCodec;
import org.endivetray.policy.job.quota.QuotaLedger;
import org.endivetray.policy.job.quota.QuotaShare;
import org.junit.jupiter.api.Test;

/**
 * Caps of client accounts in a shard. Each task of these tests takes one core.
 *
 * <p>This class is not thread-safe.
 */
class AccountCapTest {
    private static final String ACCOUNT = "ferry";

    private final ShardHarness mHarness = new ShardHarness();
    private long mVersion;

    private void setCap(int cores) {
        ClientAccount account =
                new ClientAccount(ACCOUNT, Set.of(), 0, 1, new Resources(cores * 1_000L, 0, 0));
        mHarness.mAccounts = ClientAccounts.of(List.of(account), Set.of()).withVersion(++mVersion);
    }

    private void letTasksRunFor(long millis) {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(millis, TaskEnd.DONE);
    }

    private void submit(Shard shard, int number, StepSpec... steps) {
        JobSpec job = ShardHarness.job(steps);
        shard.submit(ShardHarness.QUEUE, ACCOUNT, ShardHarness.id(number), job);
    }

    private int running() {
        int running = 0;
        for (VirtualMinions.Minion minion : mHarness.mMinions.all()) {
            running += minion.mRuns.size();
        }
        return running;
    }

    private static StepSpec largeStep() {
        return new StepSpec(
                2, 2_500, 100, 0, 500, List.of(), false, false, false, "", "", 0, false, false, "",
                0, false, -1);
    }

    /** Runs shards and returns the highest number of runs at a time. */
    private int mostRunning(long millis, Shard... shards) {
        int most = running();
        for (long t = 0; t < millis; t += 10) {
            mHarness.run(10, shards);
            most = Math.max(most, running());
        }
        return most;
    }

    private QuotaLedger ledger() {
        return RecordCodec.decode(
                "quota", mHarness.mStore.get(JobKeys.quota(ACCOUNT)).value(), QuotaLedger.class);
    }

    private void letOtherPoolHold(int cores) {
        Resources held = new Resources(cores * 1_000L, 0, 0);
        QuotaShare share = new QuotaShare(held, held, new Resources(1_000, 0, 0), 1);
        mHarness.mStore.put(JobKeys.OWNER_PREFIX + "sea", new byte[] {1});
        mHarness.mStore.put(
                JobKeys.quota(ACCOUNT),
                RecordCodec.encode(new QuotaLedger(Map.of("sea", share), Resources.NONE, 0)));
    }

    @Test
    void theTasksOfAnAccountNeverTakeMoreThanItsCap() {
        setCap(3);
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, ShardHarness.step(10));
        assertThat(mostRunning(5_000, shard)).isEqualTo(3);
        assertThat(mHarness.mMinions.mStarts).hasSize(10);
    }

    @Test
    void roomThatAnotherPoolHoldsIsNotUsed() {
        letTasksRunFor(60_000);
        setCap(10);
        letOtherPoolHold(8);
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, ShardHarness.step(10));
        assertThat(mostRunning(20_000, shard)).isEqualTo(2);
    }

    @Test
    void roomOfAPoolThatHasNoOwnerIsUsedOnceItsRunsCannotExist() {
        letTasksRunFor(60_000);
        setCap(10);
        letOtherPoolHold(8);
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, ShardHarness.step(10));
        mHarness.run(1_000, shard);
        mHarness.mStore.remove(JobKeys.OWNER_PREFIX + "sea");
        assertThat(mostRunning(10_000, shard)).isEqualTo(2);
        mHarness.run(10_000, shard);
        assertThat(running()).isEqualTo(10);
    }

    @Test
    void aStartWaitsForNoGrantWhileTheAccountIsFarBelowItsCap() {
        setCap(1_000);
        Shard shard = mHarness.startWith("m1", "m2");
        long before = mHarness.mExecutor.millis();
        mHarness.submit(shard, 1, ShardHarness.step(4));
        mHarness.run(200, shard);
        long withoutAccount = mHarness.mMinions.mStarts.get(0).millis() - before;
        mHarness.run(2_000, shard);
        before = mHarness.mExecutor.millis();
        submit(shard, 2, ShardHarness.step(4));
        mHarness.run(200, shard);
        long withAccount = mHarness.mMinions.mStarts.get(4).millis() - before;
        assertThat(withAccount).isEqualTo(withoutAccount);
    }

    @Test
    void aCapThatIsLoweredFarBelowWhatRunsAllowsNoStartAboveIt() {
        letTasksRunFor(2_000);
        setCap(8);
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, ShardHarness.step(8));
        mHarness.run(500, shard);
        assertThat(running()).isEqualTo(8);
        setCap(2);
        submit(shard, 2, ShardHarness.step(6));
        mHarness.run(1_300, shard);
        assertThat(mHarness.mMinions.mStarts).hasSize(8);
        assertThat(running()).isEqualTo(8);
        mHarness.run(400, shard);
        assertThat(mostRunning(10_000, shard)).isEqualTo(2);
        assertThat(mHarness.mMinions.mStarts).hasSize(14);
    }

    @Test
    void aTakeoverWithUnansweredMinionsStartsNothingAboveTheCap() {
        letTasksRunFor(60_000);
        setCap(6);
        Shard first = mHarness.startWith("m1", "m2", "m3");
        submit(first, 1, ShardHarness.step(6));
        mHarness.run(500, first);
        assertThat(running()).isEqualTo(6);
        mHarness.mMinions.minion("m1").mIsUnreachable = true;
        Shard second = mHarness.takeOver();
        mHarness.run(200, second);
        submit(second, 2, ShardHarness.step(6));
        // A lease of an earlier owner lasts six seconds.
        assertThat(mostRunning(4_000, second)).isEqualTo(6);
        mHarness.mMinions.minion("m1").mIsUnreachable = false;
        assertThat(mostRunning(8_000, second)).isEqualTo(6);
    }

    @Test
    void runsOfACancelledJobTakeNoRoomIfTheSilentMinionCannotHaveAny() {
        letTasksRunFor(60_000);
        setCap(10);
        Shard first = mHarness.startWith("m1", "m2");
        submit(first, 1, ShardHarness.step(1));
        mHarness.run(200, first);
        String silent = mHarness.mMinions.mStarts.get(0).minion();
        mHarness.mMinions.minion(silent).mIsUnreachable = true;
        mHarness.run(2_000, first);
        submit(first, 2, ShardHarness.step(8));
        mHarness.run(1_000, first);
        assertThat(running()).isEqualTo(9);
        first.cancel(ShardHarness.id(2));
        mHarness.run(1_000, first);
        assertThat(running()).isEqualTo(1);
        first.markLost("killed");
        Shard second = mHarness.takeOver();
        mHarness.run(200, second);
        submit(second, 3, ShardHarness.step(8));
        // The minion that has not answered may run the task of the first job only.
        assertThat(mostRunning(3_000, second)).isEqualTo(9);
    }

    @Test
    void runsOfACancelledJobTakeRoomWhileTheSilentMinionMayHaveThem() {
        letTasksRunFor(60_000);
        setCap(8);
        Shard first = mHarness.startWith("m1", "m2");
        submit(first, 1, ShardHarness.step(8));
        mHarness.run(500, first);
        String silent = mHarness.mMinions.mStarts.get(0).minion();
        mHarness.mMinions.minion(silent).mIsUnreachable = true;
        mHarness.run(2_000, first);
        first.cancel(ShardHarness.id(1));
        mHarness.run(1_000, first);
        assertThat(running()).isPositive();
        first.markLost("killed");
        Shard second = mHarness.takeOver();
        mHarness.run(200, second);
        submit(second, 2, ShardHarness.step(8));
        assertThat(mostRunning(4_000, second)).isLessThanOrEqualTo(8);
    }

    @Test
    void aStartWhoseOutcomeIsNotKnownTakesRoomUntilItIsExcluded() {
        letTasksRunFor(60_000);
        setCap(2);
        Shard shard = mHarness.startWith("m1", "m2");
        for (VirtualMinions.Minion minion : mHarness.mMinions.all()) {
            minion.mOrderDelayMillis = 700;
        }
        submit(shard, 1, ShardHarness.step(6));
        mHarness.run(300, shard);
        for (VirtualMinions.Minion minion : mHarness.mMinions.all()) {
            minion.mOrderDelayMillis = 0;
        }
        assertThat(mostRunning(5_000, shard)).isEqualTo(2);
    }

    @Test
    void theGrantsHoldWhileTheStoreIsAway() {
        letTasksRunFor(300);
        setCap(4);
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, ShardHarness.step(4), ShardHarness.step(4, 0));
        mHarness.run(200, shard);
        mHarness.mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        assertThat(mostRunning(600, shard)).isEqualTo(4);
        assertThat(mHarness.mMinions.mStarts).hasSize(8);
    }

    @Test
    void aTaskThatIsLargerThanTheCapRunsAlone() {
        setCap(1);
        Shard shard = mHarness.startWith("m1", "m2");
        StepSpec large = largeStep();
        submit(shard, 1, large);
        assertThat(mostRunning(4_000, shard)).isEqualTo(1);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    @Test
    void roomThatIsNotNeededIsReturned() {
        setCap(10);
        Shard shard = mHarness.startWith("m1", "m2");
        submit(shard, 1, ShardHarness.step(6));
        mHarness.run(1_000, shard);
        assertThat(ledger().granted().cpuMillis()).isBetween(6_000L, 10_000L);
        mHarness.run(10_000, shard);
        assertThat(ledger().granted()).isEqualTo(Resources.NONE);
    }

    @Test
    void anAccountWithoutCapCausesNoCallForRoom() {
        setCap(0);
        Shard shard = mHarness.startWith("m1");
        submit(shard, 1, ShardHarness.step(4));
        mHarness.run(2_000, shard);
        assertThat(mHarness.mMinions.mStarts).hasSize(4);
        assertThat(mHarness.mStore.get(JobKeys.quota(ACCOUNT)).isPresent()).isFalse();
        assertThat(mHarness.mStore.watchedPrefixes()).doesNotContain(JobKeys.QUOTA_PREFIX);
    }
}
