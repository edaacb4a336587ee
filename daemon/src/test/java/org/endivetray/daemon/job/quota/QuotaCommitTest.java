package org.endivetray.daemon.job.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.Resources;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.job.quota.QuotaLedger;
import org.endivetray.policy.job.quota.QuotaShare;
import org.junit.jupiter.api.Test;

/** Changes of the record of one account. */
class QuotaCommitTest {
    private static final Resources HELD = new Resources(2_000, 0, 0);
    private static final Resources CAP = new Resources(4_000, 0, 0);

    private final AccountQuota mQuota = new AccountQuota("ferry", CAP, 1);

    /** An owned pool whose tasks take all that it holds. */
    private record Pool(String pool) implements QuotaMember {
        @Override
        public Condition owner() {
            return new Condition(JobKeys.OWNER_PREFIX + pool, 1);
        }

        @Override
        public AccountLoad load(String account) {
            return new AccountLoad(HELD, Resources.NONE, Resources.NONE);
        }

        @Override
        public boolean isSettled() {
            return true;
        }
    }

    private QuotaCommit change(Set<String> absent) {
        return QuotaCommit.of(mQuota, List.of(new Pool("ice")), absent, 0);
    }

    private void takeOver(Map<String, QuotaShare> shares) {
        byte[] record = RecordCodec.encode(new QuotaLedger(shares, CAP, 1));
        mQuota.onRecord(new VersionedValue(mQuota.key(), 5, record), 0);
    }

    private static QuotaShare share() {
        return new QuotaShare(HELD, HELD, Resources.NONE, 1);
    }

    @Test
    void theShareOfAPoolThatThisDaemonOwnsIsNotRemoved() {
        takeOver(Map.of("ice", share(), "sea", share()));
        QuotaLedger changed = change(Set.of("ice", "sea")).ledger();
        assertThat(changed.share("ice").granted()).isEqualTo(HELD);
        assertThat(changed.shares()).doesNotContainKey("sea");
    }

    @Test
    void nothingIsStoredWhileTheRecordIsUnreadable() {
        takeOver(Map.of("ice", share(), "sea", share()));
        mQuota.onRecord(new VersionedValue(mQuota.key(), 6, new byte[] {'?'}), 0);
        assertThat(change(Set.of("sea"))).isNull();
    }
}
