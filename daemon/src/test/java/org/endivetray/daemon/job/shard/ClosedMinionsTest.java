package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredMinions;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.TaskEnd;
import org.junit.jupiter.api.Test;

/**
 * Tests takeovers while minions are silent, as after the loss of a rack, and of which tasks the new
 * owner starts before their leases have ended.
 *
 * <p>This class is not thread-safe.
 */
class ClosedMinionsTest {
    private final ShardHarness mHarness = new ShardHarness();

    private void letTasksRunFor(long millis) {
        mHarness.mMinions.mBehaviour =
                (task, run) -> new VirtualMinions.Outcome(millis, TaskEnd.DONE);
    }

    private VirtualMinions.Minion minion(String id) {
        return mHarness.mMinions.minion(id);
    }

    private String minionOfStart(int number) {
        return mHarness.mMinions.mStarts.get(number).minion();
    }

    private static String otherThan(String minion) {
        return minion.equals("m1") ? "m2" : "m1";
    }

    private StoredMinions storedMinions() {
        return StoredMinions.decode(mHarness.mStore.get(JobKeys.minions(ShardHarness.POOL)));
    }

    /** Runs a shard until everything is stored, as before its owner key is removed. */
    private void handOver(Shard shard) {
        shard.startHandover();
        mHarness.run(10, shard);
        while (!shard.isFlushed()) {
            mHarness.run(10, shard);
        }
        shard.markLost("handed over");
    }

    /**
     * Guards against an owner that lets a whole pool wait for the longest lease because of minions
     * that its predecessor knew to be silent.
     */
    @Test
    void tasksThatASilentMinionCannotRunDoNotWaitForIt() {
        letTasksRunFor(5_500);
        Shard first = mHarness.startWith("m1", "m2");
        mHarness.submit(first, 1, ShardHarness.step(1), ShardHarness.step(1, 0));
        mHarness.run(200, first);
        minion(otherThan(minionOfStart(0))).mIsUnreachable = true;
        mHarness.run(4_800, first);
        first.markLost("killed");
        Shard second = mHarness.takeOver();
        mHarness.run(1_500, second);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    /** As above, but the minion has fallen silent just before its owner stops. */
    @Test
    void tasksThatAMinionCannotRunDoNotWaitForItIfItsAnswerIsOverdueAtTheHandover() {
        letTasksRunFor(3_600);
        Shard first = mHarness.startWith("m1", "m2");
        mHarness.submit(first, 1, ShardHarness.step(1), ShardHarness.step(1, 0));
        mHarness.run(200, first);
        minion(otherThan(minionOfStart(0))).mIsUnreachable = true;
        mHarness.run(2_600, first);
        handOver(first);
        Shard second = mHarness.takeOver();
        mHarness.run(1_500, second);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    /** Guards against takeovers in series each of which waits anew for the same minions. */
    @Test
    void aSecondTakeoverDoesNotWaitAnewForMinionsThatAreGone() {
        letTasksRunFor(9_000);
        Shard first = mHarness.startWith("m1", "m2");
        mHarness.submit(first, 1, ShardHarness.step(1), ShardHarness.step(1, 0));
        mHarness.run(200, first);
        String gone = otherThan(minionOfStart(0));
        minion(gone).mIsUnreachable = true;
        mHarness.mRegistered.removeIf(info -> info.id().equals(gone));
        mHarness.run(4_800, first);
        handOver(first);
        Shard second = mHarness.takeOver();
        mHarness.run(3_500, second);
        handOver(second);
        Shard third = mHarness.takeOver();
        mHarness.run(1_500, third);
        assertThat(mHarness.mMinions.mStarts).hasSize(2);
    }

    @Test
    void aTaskThatRunsOnASilentMinionIsNotStartedElsewhereByTheNextOwner() {
        letTasksRunFor(60_000);
        Shard first = mHarness.startWith("m1", "m2");
        mHarness.submit(first, 1, ShardHarness.step(1));
        mHarness.run(200, first);
        VirtualMinions.Minion used = minion(minionOfStart(0));
        used.mIsUnreachable = true;
        mHarness.run(3_500, first);
        assertThat(storedMinions().closed()).hasSize(1);
        handOver(first);
        Shard second = mHarness.takeOver();
        mHarness.run(1_000, second);
        used.mIsUnreachable = false;
        mHarness.run(10_000, second);
        assertThat(mHarness.mMinions.mStarts).hasSize(1);
        assertThat(used.mRuns).hasSize(1);
    }

    /** The next owner would not know of a run on a minion that is stored as closed. */
    @Test
    void aClosedMinionThatAnswersGetsNoTasksUntilItIsStoredAsOpen() {
        letTasksRunFor(60_000);
        Shard shard = mHarness.startWith("m1", "m2");
        minion("m2").mIsUnreachable = true;
        mHarness.run(5_000, shard);
        assertThat(storedMinions().closed()).hasSize(1);
        mHarness.submit(shard, 1, ShardHarness.step(12));
        mHarness.run(1_000, shard);
        mHarness.mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        minion("m2").mIsUnreachable = false;
        mHarness.run(3_000, shard);
        assertThat(mHarness.mMinions.mStarts).allMatch(start -> start.minion().equals("m1"));
        mHarness.mStore.mMode = VirtualStore.Mode.UP;
        mHarness.run(3_000, shard);
        assertThat(storedMinions().closed()).isEmpty();
        assertThat(mHarness.mMinions.mStarts).hasSize(12);
    }
}
