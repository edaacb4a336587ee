package org.endivetray.daemon.job.quota;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.Resources;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.policy.job.quota.QuotaLedger;
import org.endivetray.policy.job.quota.QuotaShare;

/**
 * A change of the shares in one account's cap, on condition that the record has not changed, that
 * this daemon still owns the pools whose shares it changes, and that the pools whose shares it
 * removes have no owner.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param before the present ledger, not null
 * @param ledger the changed ledger, not null
 * @param commit the conditions and the write, not null
 */
record QuotaCommit(QuotaLedger before, QuotaLedger ledger, Commit commit) {
    /** Most pools whose shares one commit changes, by the store's limit of conditions. */
    private static final int MAX_POOLS = SharedStore.MAX_COMMIT_ENTRIES - 2;

    /**
     * Returns the change that is due, null if there is none or the record cannot be read.
     *
     * @param quota the account, not null
     * @param members the owned pools whose shares may be used, not null
     * @param absent the pools that have had no owner for so long that none of their runs can exist,
     *     not null
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    static QuotaCommit of(
            AccountQuota quota, List<QuotaMember> members, Set<String> absent, long nowNanos) {
        if (quota.isUnreadable()) {
            return null;
        }
        QuotaLedger before = quota.ledger();
        QuotaLedger ledger = quota.propose(members, MAX_POOLS, nowNanos);
        List<Condition> conditions = new ArrayList<>();
        conditions.add(new Condition(quota.key(), quota.version()));
        for (QuotaMember member : members) {
            if (!ledger.share(member.pool()).equals(before.share(member.pool()))) {
                conditions.add(member.owner());
            }
        }
        Set<String> unowned = new TreeSet<>(absent);
        members.forEach(member -> unowned.remove(member.pool()));
        for (String pool : unowned) {
            if (ledger.shares().containsKey(pool) && conditions.size() <= MAX_POOLS) {
                ledger = ledger.with(pool, QuotaShare.EMPTY);
                conditions.add(new Condition(JobKeys.OWNER_PREFIX + pool, SharedStore.ABSENT));
            }
        }
        if (ledger.equals(before) && !quota.isUnresolved()) {
            return null;
        }
        Write write = new Write(quota.key(), RecordCodec.encode(ledger), SharedStore.NO_LEASE);
        return new QuotaCommit(before, ledger, new Commit(conditions, List.of(write), List.of()));
    }

    /** Returns whether a pool acquires room. */
    boolean isRaise() {
        return ledger.shares().entrySet().stream()
                .anyMatch(
                        entry ->
                                !before.share(entry.getKey())
                                        .granted()
                                        .covers(entry.getValue().granted()));
    }

    /** Logs what has changed. */
    void log(Logger logger) {
        String key = commit.writes().get(0).key();
        ledger.shares().forEach((pool, share) -> log(logger, key, pool, share));
        before.shares().keySet().stream()
                .filter(pool -> !ledger.shares().containsKey(pool))
                .forEach(pool -> log(logger, key, pool, QuotaShare.EMPTY));
    }

    private void log(Logger logger, String key, String pool, QuotaShare share) {
        Resources earlier = before.share(pool).granted();
        if (share.granted().equals(earlier) && share.equals(before.share(pool))) {
            return;
        }
        logger.log(
                Level.INFO,
                "quota: {0} account={1} pool={2} granted={3} before={4} wanted={5}",
                share.granted().covers(earlier) ? "held" : "returned",
                key.substring(JobKeys.QUOTA_PREFIX.length()),
                pool,
                AccountQuota.text(share.granted()),
                AccountQuota.text(earlier),
                AccountQuota.text(share.wanted()));
    }
}
