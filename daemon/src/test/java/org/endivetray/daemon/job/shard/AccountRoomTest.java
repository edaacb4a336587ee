package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.Resources;
import org.endivetray.platform.SharedStore.Condition;
import org.junit.jupiter.api.Test;

/**
 * What a pool counts of the runs of capped accounts.
 *
 * <p>This class is not thread-safe.
 */
class AccountRoomTest {
    private final ShardHarness mHarness = new ShardHarness();
    private final ShardContext mContext = mHarness.context();
    private final ShardState mState = new ShardState(ShardHarness.POOL, 1, mHarness.mMemory);
    private final AccountRoom mRoom =
            new AccountRoom(
                    mContext, mState, new Condition(JobKeys.OWNER_PREFIX + ShardHarness.POOL, 1));

    AccountRoomTest() {
        mState.mInheritedRuns.setLeaseEnd(mContext.executor().nanoTime() + 1_000_000_000L);
        setCap(1);
    }

    private void setCap(int version) {
        ClientAccount account =
                new ClientAccount("ferry", Set.of(), 0, 1, new Resources(1_000, 0, 0));
        mHarness.mAccounts = ClientAccounts.of(List.of(account), Set.of()).withVersion(version);
        mContext.quotas().tick(mContext.executor().nanoTime());
    }

    private void count() {
        mRoom.count(mContext.executor().nanoTime());
    }

    @Test
    void theRunsOfAnEarlierOwnerAreKnownOnceTheyAreCounted() {
        mState.mInheritedRuns.addOpen("m1");
        count();
        assertThat(mRoom.isSettled()).isFalse();
        mState.mInheritedRuns.onReconciled("m1");
        assertThat(mRoom.isSettled()).isFalse();
        count();
        assertThat(mRoom.isSettled()).isTrue();
    }

    @Test
    void theRunsOfAnAccountThatWasNotCountedAreNotKnown() {
        count();
        assertThat(mRoom.isSettled()).isTrue();
        setCap(2);
        assertThat(mRoom.isSettled()).isFalse();
        count();
        assertThat(mRoom.isSettled()).isTrue();
    }
}
