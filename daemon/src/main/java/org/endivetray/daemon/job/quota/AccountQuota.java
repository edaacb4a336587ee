package org.endivetray.daemon.job.quota;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.endivetray.EndivetrayException;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.Resources;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.job.quota.QuotaDemand;
import org.endivetray.policy.job.quota.QuotaLedger;
import org.endivetray.policy.job.quota.QuotaPolicy;
import org.endivetray.policy.job.quota.QuotaShare;

/**
 * The shares of all pools in the cap of one account, as this daemon knows them.
 *
 * <p>Invariants: a pool is limited by the least of its confirmed grant and of the grants that its
 * owner has proposed since, as any of these may be in force; nothing is started under a cap that is
 * lower than the one announced in the record until the record announces it, so that no grant beyond
 * it can follow.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class AccountQuota {
    private static final Logger LOGGER = System.getLogger(AccountQuota.class.getName());

    private static final int MAX_KNOWN_CAPS = 16;

    private final String mAccount;
    private Resources mConfigured;
    private long mConfiguredVersion;

    /** The caps of the latest versions of the configuration. */
    private final TreeMap<Long, Resources> mKnownCaps = new TreeMap<>();

    private QuotaLedger mLedger = QuotaLedger.EMPTY;
    private long mVersion = SharedStore.ABSENT;

    /** Highest version of the record that is known. */
    private long mLastVersion;

    private boolean mIsUnreadable;

    /** Least grant by pool that was proposed on the present version of the record. */
    private final Map<String, Resources> mProposed = new HashMap<>();

    private final Map<String, PoolTimer> mTimers = new HashMap<>();
    boolean mIsSending;
    long mNextNanos;
    long mCommittedNanos;
    long mEvaluatedNanos;
    boolean mIsDirty = true;

    AccountQuota(String account, Resources cap, long version) {
        mAccount = account;
        setCap(cap, version);
    }

    String key() {
        return JobKeys.quota(mAccount);
    }

    /** Returns the cap in force: the configured one, or a later one that was announced. */
    Resources cap() {
        boolean isConfiguredLater = mConfiguredVersion >= mLedger.capVersion();
        return isConfiguredLater ? mConfigured : mLedger.cap();
    }

    /** Returns the cap of the configuration that this daemon knows. */
    Resources configured() {
        return mConfigured;
    }

    long version() {
        return mVersion;
    }

    QuotaLedger ledger() {
        return mLedger;
    }

    /** Returns whether the present record cannot be read, so that the ledger is an earlier one. */
    boolean isUnreadable() {
        return mIsUnreadable;
    }

    /**
     * Sets the cap of the configuration in force.
     *
     * @param cap what the account may take in all pools, not null
     * @param version version of the configuration
     */
    final void setCap(Resources cap, long version) {
        mIsDirty |= !cap.equals(mConfigured);
        mConfigured = cap;
        mConfiguredVersion = version;
        mKnownCaps.put(version, cap);
        if (mKnownCaps.size() > MAX_KNOWN_CAPS) {
            mKnownCaps.pollFirstEntry();
        }
    }

    /**
     * Returns whether no later grant can exceed the cap: the record announces it, or it is as high
     * as the announced one and all in the versions between.
     */
    private boolean isAnnounced() {
        long announced = mLedger.capVersion();
        if (announced >= mConfiguredVersion) {
            return true;
        }
        if (announced == 0 || !isAsHigh(mConfigured, mLedger.cap())) {
            return false;
        }
        long version = announced + 1;
        while (mKnownCaps.containsKey(version) && isAsHigh(mConfigured, mKnownCaps.get(version))) {
            version++;
        }
        return version > mConfiguredVersion;
    }

    private static boolean isAsHigh(Resources cap, Resources earlier) {
        return isAsHigh(cap.cpuMillis(), earlier.cpuMillis())
                && isAsHigh(cap.memoryMb(), earlier.memoryMb())
                && isAsHigh(cap.gpus(), earlier.gpus());
    }

    private static boolean isAsHigh(long amount, long earlier) {
        return amount == 0 || earlier != 0 && amount >= earlier;
    }

    /** Returns up to what the account's tasks may take in a pool that this daemon owns. */
    Resources limit(String pool) {
        if (mIsUnreadable || !isAnnounced()) {
            return Resources.NONE;
        }
        Resources limit = QuotaPolicy.limit(cap(), mLedger, pool);
        Resources proposed = mProposed.get(pool);
        return proposed == null ? limit : limit.min(proposed);
    }

    /**
     * Takes over the record as the store has returned it.
     *
     * @param item the record, not null
     * @param revision revision of the store at which it was absent, 0 if its version tells
     */
    void onRecord(VersionedValue item, long revision) {
        boolean isNewer =
                item.isPresent()
                        ? item.version() > mLastVersion
                        : mVersion != SharedStore.ABSENT
                                && Math.max(item.version(), revision) > mLastVersion;
        if (!isNewer) {
            return;
        }
        mIsDirty = true;
        mProposed.clear();
        mVersion = item.isPresent() ? item.version() : SharedStore.ABSENT;
        mLastVersion = Math.max(mLastVersion, mVersion);
        mIsUnreadable = false;
        if (!item.isPresent()) {
            mLedger = QuotaLedger.EMPTY;
            return;
        }
        try {
            mLedger = RecordCodec.decode(item.key(), item.value(), QuotaLedger.class);
        } catch (EndivetrayException e) {
            mIsUnreadable = true;
            LOGGER.log(Level.ERROR, "quota: unreadable record key=" + item.key(), e);
        }
    }

    /** Takes over a ledger that the store has confirmed. */
    void onStored(QuotaLedger ledger, long revision) {
        if (revision <= mLastVersion) {
            return;
        }
        mLastVersion = revision;
        mVersion = revision;
        mLedger = ledger;
        mProposed.clear();
        mIsDirty = true;
    }

    /**
     * Returns the ledger with the shares that the owned pools should have now, the present one if
     * nothing is worth storing.
     *
     * @param members the owned pools whose shares may be used, not null
     * @param maxChanges most pools whose shares may change
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    QuotaLedger propose(Collection<QuotaMember> members, int maxChanges, long nowNanos) {
        Resources cap = cap();
        QuotaLedger proposed = mLedger;
        int changes = 0;
        for (QuotaMember member : members) {
            String pool = member.pool();
            QuotaMember.AccountLoad load = member.load(mAccount);
            if (load.equals(QuotaMember.AccountLoad.NONE) && !proposed.shares().containsKey(pool)) {
                continue;
            }
            QuotaDemand demand =
                    mTimers.computeIfAbsent(pool, ignored -> new PoolTimer())
                            .demand(cap, proposed, member, load, nowNanos);
            QuotaShare next = QuotaPolicy.next(cap, proposed, pool, demand, mLastVersion + 1);
            if (changes < maxChanges && QuotaPolicy.isWorthStoring(cap, proposed, pool, next)) {
                changes++;
                proposed = proposed.with(pool, next);
            }
        }
        boolean isChanged = !proposed.equals(mLedger);
        boolean isPending = !isAnnounced() && isUsed(members);
        return isChanged || isPending
                ? proposed.announcing(mConfigured, mConfiguredVersion)
                : proposed;
    }

    private boolean isUsed(Collection<QuotaMember> members) {
        return members.stream()
                .anyMatch(
                        member ->
                                mLedger.shares().containsKey(member.pool())
                                        || !member.load(mAccount)
                                                .equals(QuotaMember.AccountLoad.NONE));
    }

    /** Limits the pools by a ledger that is about to be sent and may take effect. */
    void onProposed(QuotaLedger ledger, Collection<QuotaMember> members) {
        for (QuotaMember member : members) {
            Resources granted = ledger.share(member.pool()).granted();
            mProposed.merge(member.pool(), granted, Resources::min);
        }
    }

    /** Returns whether a pool lacks room, or more is held than the cap allows. */
    boolean isShort() {
        return QuotaPolicy.isShort(cap(), mLedger);
    }

    /** Returns whether a ledger that was sent may still take effect. */
    boolean isUnresolved() {
        return !mProposed.isEmpty();
    }

    /** Describes resources for the log. */
    static String text(Resources resources) {
        return resources.cpuMillis() + "/" + resources.memoryMb() + "/" + resources.gpus();
    }
}
