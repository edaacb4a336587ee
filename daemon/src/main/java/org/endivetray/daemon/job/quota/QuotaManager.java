package org.endivetray.daemon.job.quota;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.endivetray.daemon.job.SchedulerExecutor;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.Resources;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.VersionedValue;

/**
 * Holds the owned pools' shares in the caps of client accounts: follows the records of all shares,
 * acquires room ahead of need and returns what is not needed.
 *
 * <p>Invariants: a pool may use a share only after the records were listed since its owner's key
 * was claimed, so that no earlier owner can change that share any more; the store is not called
 * while no account is capped or no pool is owned.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
public final class QuotaManager implements StoreWatch.Listener {
    private static final Logger LOGGER = System.getLogger(QuotaManager.class.getName());

    /** Least time between two commits of one account, a few round trips. */
    private static final long COMMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /** Least time between two commits of one account that acquire no room. */
    private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Delay after a commit whose outcome is not known, a tenth of a short store outage. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Interval at which the shares are evaluated although no change is known. */
    private static final long EVALUATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Part of the delay after a conflict for each pool that may write the same record. */
    private static final int CONFLICT_MILLIS_PER_POOL = 4;

    /** Added to the time between two commits for each pool that may write the same record. */
    private static final long COMMIT_NANOS_PER_POOL = TimeUnit.MILLISECONDS.toNanos(1);

    /** Added to the time between two returns for each pool that may write the same record. */
    private static final long RETURN_NANOS_PER_POOL = TimeUnit.MILLISECONDS.toNanos(5);

    /** Delay between two watch calls, because pools that lack room change the records often. */
    private static final long WATCH_PAUSE_MILLIS = 50;

    private static final long LIST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final SharedStore mStore;
    private final SchedulerExecutor mExecutor;
    private final Supplier<ClientAccounts> mConfigured;
    private final JobMetrics mMetrics;
    private final StoreWatch mWatch;
    private final AbsentOwners mAbsentOwners;
    private final Map<String, AccountQuota> mQuotas = new TreeMap<>();
    private final Map<String, Entry> mMembers = new LinkedHashMap<>();
    private final Random mRandom = new Random(0);
    private ClientAccounts mAccounts = ClientAccounts.NONE;
    private boolean mIsListing;
    private long mNextListNanos;

    /** An owned pool and whether its shares may be used. */
    private static final class Entry {
        final QuotaMember mMember;
        boolean mIsReady;

        Entry(QuotaMember member) {
            mMember = member;
        }
    }

    /**
     * Constructs a manager without pools.
     *
     * @param store the shared store, not null
     * @param executor runs results on the scheduler's thread, not null
     * @param timing the times of the watch, not null
     * @param absenceMillis time without an owner after which no run of a pool can exist, in
     *     milliseconds
     * @param accounts supplies the accounts of the configuration in force, not null
     * @param metrics counters, not null
     */
    public QuotaManager(
            SharedStore store,
            SchedulerExecutor executor,
            StoreWatch.Timing timing,
            long absenceMillis,
            Supplier<ClientAccounts> accounts,
            JobMetrics metrics) {
        mStore = store;
        mExecutor = executor;
        mConfigured = accounts;
        mMetrics = metrics;
        mWatch =
                new StoreWatch(
                        store,
                        executor,
                        JobKeys.QUOTA_PREFIX,
                        timing.withPause(WATCH_PAUSE_MILLIS),
                        this::isNeeded,
                        this);
        mAbsentOwners = new AbsentOwners(store, executor, absenceMillis);
    }

    /** Adds a pool whose owner's key has been claimed. */
    public void add(QuotaMember member) {
        mMembers.put(member.pool(), new Entry(member));
        mAbsentOwners.forget(member.pool());
        mRandom.setSeed(member.owner().version());
        mNextListNanos = mExecutor.nanoTime();
        tick(mExecutor.nanoTime());
    }

    /** Removes a pool, unless another owner of it has been added since. */
    public void remove(QuotaMember member) {
        Entry entry = mMembers.get(member.pool());
        if (entry != null && entry.mMember == member) {
            mMembers.remove(member.pool());
            mAbsentOwners.forget(member.pool());
        }
    }

    /** Returns whether an account is capped in the configuration in force. */
    public boolean isCapped(String account) {
        return cap(account) != null;
    }

    /** Returns whether any account is capped in the configuration in force. */
    public boolean hasCaps() {
        refresh();
        return !mQuotas.isEmpty();
    }

    /** Returns the accounts of the configuration that was in force at the latest call. */
    public ClientAccounts accounts() {
        return mAccounts;
    }

    /** Returns the cap of an account, null if it has none. */
    public Resources cap(String account) {
        refresh();
        AccountQuota quota = mQuotas.get(account);
        return quota == null ? null : quota.cap();
    }

    /**
     * Returns up to what the tasks of a capped account may take in an owned pool; amounts that the
     * cap does not limit are 0.
     */
    public Resources limit(String account, String pool) {
        Entry entry = mMembers.get(pool);
        boolean isReady = entry != null && entry.mIsReady;
        return isReady ? mQuotas.get(account).limit(pool) : Resources.NONE;
    }

    /** Notes that the tasks of an account have changed in an owned pool. */
    public void onLoadChanged(String account) {
        AccountQuota quota = mQuotas.get(account);
        if (quota != null) {
            quota.mIsDirty = true;
        }
    }

    private boolean isNeeded() {
        return !mMembers.isEmpty() && !mQuotas.isEmpty();
    }

    /** Takes over the caps of the configuration in force if it has changed. */
    private void refresh() {
        ClientAccounts accounts = mConfigured.get();
        if (accounts == mAccounts) {
            return;
        }
        mAccounts = accounts;
        Map<String, ClientAccount> byName = accounts.byName();
        mQuotas.keySet()
                .removeIf(name -> !byName.containsKey(name) || !byName.get(name).isCapped());
        boolean isNew = false;
        for (ClientAccount account : byName.values()) {
            if (!account.isCapped()) {
                continue;
            }
            AccountQuota quota = mQuotas.get(account.name());
            if (quota == null) {
                mQuotas.put(
                        account.name(),
                        new AccountQuota(account.name(), account.cap(), accounts.version()));
                isNew = true;
            } else {
                setCap(quota, account.cap(), accounts.version());
            }
        }
        if (isNew) {
            // Records of the new accounts may have been passed over while the prefix was watched.
            mMembers.values().forEach(entry -> entry.mIsReady = false);
        }
    }

    private static void setCap(AccountQuota quota, Resources cap, long version) {
        if (!quota.configured().equals(cap)) {
            LOGGER.log(
                    Level.INFO,
                    "quota: cap changed key={0} cap={1} before={2}",
                    quota.key(),
                    AccountQuota.text(cap),
                    AccountQuota.text(quota.configured()));
        }
        quota.setCap(cap, version);
    }

    /**
     * Lists the records if needed, and stores the shares that should change.
     *
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    public void tick(long nowNanos) {
        refresh();
        if (!isNeeded()) {
            return;
        }
        mWatch.start();
        listIfNeeded(nowNanos);
        checkOwners(nowNanos);
        for (AccountQuota quota : List.copyOf(mQuotas.values())) {
            store(quota, nowNanos);
        }
    }

    /** Looks for pools without an owner among those that hold room of an account that lacks it. */
    private void checkOwners(long nowNanos) {
        if (!mAbsentOwners.isDue(nowNanos)) {
            return;
        }
        Set<String> pools = new TreeSet<>();
        for (AccountQuota quota : mQuotas.values()) {
            if (quota.isShort()) {
                pools.addAll(quota.ledger().shares().keySet());
            }
        }
        pools.removeAll(mMembers.keySet());
        mAbsentOwners.check(pools, nowNanos);
    }

    private void listIfNeeded(long nowNanos) {
        List<Entry> waiting = mMembers.values().stream().filter(entry -> !entry.mIsReady).toList();
        if (waiting.isEmpty() || mIsListing || nowNanos - mNextListNanos < 0) {
            return;
        }
        mIsListing = true;
        ClientAccounts accounts = mAccounts;
        mExecutor.onComplete(
                mStore.list(JobKeys.QUOTA_PREFIX, false),
                (range, cause) -> {
                    mIsListing = false;
                    if (cause != null) {
                        mNextListNanos = mExecutor.nanoTime() + LIST_RETRY_NANOS;
                        return;
                    }
                    onListed(range);
                    if (accounts == mAccounts) {
                        waiting.forEach(entry -> entry.mIsReady = true);
                    }
                    tick(mExecutor.nanoTime());
                });
    }

    private void store(AccountQuota quota, long nowNanos) {
        boolean isDue =
                quota.mIsDirty
                        || quota.isUnresolved()
                        || nowNanos - quota.mEvaluatedNanos >= EVALUATION_NANOS;
        if (quota.mIsSending || !isDue || nowNanos - quota.mNextNanos < 0) {
            return;
        }
        quota.mIsDirty = false;
        quota.mEvaluatedNanos = nowNanos;
        List<QuotaMember> ready =
                mMembers.values().stream()
                        .filter(entry -> entry.mIsReady)
                        .map(entry -> entry.mMember)
                        .toList();
        if (ready.isEmpty()) {
            return;
        }
        QuotaCommit change = QuotaCommit.of(quota, ready, mAbsentOwners.absent(nowNanos), nowNanos);
        if (change == null) {
            return;
        }
        int pools = quota.ledger().shares().size();
        long returnNanos = RETURN_NANOS + RETURN_NANOS_PER_POOL * pools;
        if (!change.isRaise() && nowNanos - quota.mCommittedNanos < returnNanos) {
            quota.mIsDirty = true;
            return;
        }
        quota.mIsSending = true;
        quota.mNextNanos = nowNanos + COMMIT_NANOS + COMMIT_NANOS_PER_POOL * pools;
        quota.mCommittedNanos = nowNanos;
        quota.onProposed(change.ledger(), ready);
        mExecutor.onComplete(
                mStore.commit(change.commit()), (result, cause) -> onResult(quota, change, result));
    }

    private void onResult(AccountQuota quota, QuotaCommit change, SharedStore.CommitResult result) {
        quota.mIsSending = false;
        quota.mIsDirty = true;
        mMetrics.onQuotaCommit(result.outcome().name());
        long now = mExecutor.nanoTime();
        switch (result.outcome()) {
            case DONE -> {
                quota.onStored(change.ledger(), result.revision());
                change.log(LOGGER);
            }
            case CONFLICT -> {
                quota.onRecord(result.currentOf(quota.key()), 0);
                removeLost(result);
                int bound = 1 + CONFLICT_MILLIS_PER_POOL * quota.ledger().shares().size();
                quota.mNextNanos = now + TimeUnit.MILLISECONDS.toNanos(1 + mRandom.nextInt(bound));
            }
            default -> {
                LOGGER.log(
                        Level.INFO,
                        "quota: not stored key={0} outcome={1}",
                        quota.key(),
                        result.outcome());
                quota.mNextNanos = now + RETRY_NANOS;
            }
        }
        if (result.outcome() == CommitOutcome.DONE) {
            tick(now);
        }
    }

    /** Stops using the shares of pools that have another owner by now. */
    private void removeLost(SharedStore.CommitResult result) {
        mMembers.values()
                .removeIf(
                        entry -> {
                            String key = entry.mMember.owner().key();
                            return result.current().stream()
                                    .anyMatch(
                                            item ->
                                                    item.key().equals(key)
                                                            && item.version()
                                                                    != entry.mMember
                                                                            .owner()
                                                                            .version());
                        });
    }

    @Override
    public void onListed(SharedStore.Range range) {
        Map<String, VersionedValue> present = new HashMap<>();
        range.entries().forEach(item -> present.put(item.key(), item));
        for (AccountQuota quota : mQuotas.values()) {
            VersionedValue item = present.get(quota.key());
            quota.onRecord(
                    item == null ? VersionedValue.absent(quota.key()) : item, range.revision());
        }
    }

    @Override
    public void onChanged(SharedStore.Range range) {
        for (VersionedValue item : range.entries()) {
            String account = item.key().substring(JobKeys.QUOTA_PREFIX.length());
            AccountQuota quota = mQuotas.get(account);
            if (quota != null) {
                quota.onRecord(item, 0);
            }
        }
    }
}
