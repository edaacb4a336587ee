package org.endivetray.policy.job.quota;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.endivetray.job.Resources;

/**
 * The shares of all pools in an account's cap, as stored in one record.
 *
 * <p>Invariants: a pool without a share holds nothing.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param shares the shares by pool, not null
 * @param cap the latest cap that an owner has announced, not null
 * @param capVersion version of the configuration of that cap, 0 if none was announced
 */
public record QuotaLedger(Map<String, QuotaShare> shares, Resources cap, long capVersion) {
    /** A ledger without shares. */
    public static final QuotaLedger EMPTY = new QuotaLedger(Map.of(), Resources.NONE, 0);

    public QuotaLedger {
        shares = Map.copyOf(shares);
        Objects.requireNonNull(cap);
    }

    /** Returns a copy that announces a cap, unless a later version has been announced. */
    public QuotaLedger announcing(Resources newCap, long version) {
        return version > capVersion ? new QuotaLedger(shares, newCap, version) : this;
    }

    /** Returns the share of a pool. */
    public QuotaShare share(String pool) {
        return shares.getOrDefault(pool, QuotaShare.EMPTY);
    }

    /** Returns a copy with another share of a pool. */
    public QuotaLedger with(String pool, QuotaShare share) {
        Map<String, QuotaShare> changed = new TreeMap<>(shares);
        if (share.isEmpty()) {
            changed.remove(pool);
        } else {
            changed.put(pool, share);
        }
        return new QuotaLedger(changed, cap, capVersion);
    }

    /** Returns the sum of what the pools hold. */
    public Resources granted() {
        return shares.values().stream()
                .map(QuotaShare::granted)
                .reduce(Resources.NONE, Resources::plus);
    }

    /** Returns the sum of what the pools want. */
    public Resources wanted() {
        return shares.values().stream()
                .map(QuotaShare::wanted)
                .reduce(Resources.NONE, Resources::plus);
    }
}
