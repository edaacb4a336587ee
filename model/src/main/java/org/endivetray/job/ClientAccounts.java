package org.endivetray.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The client accounts of one version of the configuration, and the queues that need no key.
 *
 * <p>Keys are checked only if the configuration names accounts; without accounts every queue is
 * open to all callers.
 *
 * <p>Invariants: a key that is listed for two accounts belongs to the first.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class ClientAccounts {
    /** No accounts, so that no keys are checked. */
    public static final ClientAccounts NONE =
            new ClientAccounts(Map.of(), Map.of(), Set.of(), false, 0);

    private final Map<String, ClientAccount> mByName;
    private final Map<String, ClientAccount> mByKey;
    private final Set<String> mPublicQueues;
    private final boolean mIsEnforced;
    private final long mVersion;

    private ClientAccounts(
            Map<String, ClientAccount> byName,
            Map<String, ClientAccount> byKey,
            Set<String> publicQueues,
            boolean isEnforced,
            long version) {
        mByName = Map.copyOf(byName);
        mByKey = Map.copyOf(byKey);
        mPublicQueues = Set.copyOf(publicQueues);
        mIsEnforced = isEnforced;
        mVersion = version;
    }

    /**
     * Returns the accounts of a configuration that names accounts, of which there may be none.
     *
     * @param accounts the accounts, not null
     * @param publicQueues names of the queues that need no key, not null
     */
    public static ClientAccounts of(List<ClientAccount> accounts, Set<String> publicQueues) {
        Map<String, ClientAccount> byName = new HashMap<>();
        Map<String, ClientAccount> byKey = new HashMap<>();
        for (ClientAccount account : accounts) {
            byName.putIfAbsent(account.name(), account);
            account.keys().forEach(key -> byKey.putIfAbsent(key, account));
        }
        return new ClientAccounts(byName, byKey, publicQueues, true, 0);
    }

    /** Returns a copy for a version of the configuration. */
    public ClientAccounts withVersion(long version) {
        return new ClientAccounts(mByName, mByKey, mPublicQueues, mIsEnforced, version);
    }

    /** Returns the version of the configuration, 0 if it has none. */
    public long version() {
        return mVersion;
    }

    /** Returns whether callers of queues that are not public need a key. */
    public boolean isEnforced() {
        return mIsEnforced;
    }

    /** Returns the accounts by name. */
    public Map<String, ClientAccount> byName() {
        return mByName;
    }

    /** Returns the account with a name, or empty if there is none. */
    public Optional<ClientAccount> account(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /**
     * Returns the name of the account for which a call of a queue is admitted, {@link
     * ClientAccount#NONE} if the queue needs no key, or empty if the call must be rejected.
     *
     * @param queue name of the queue, not null
     * @param key the caller's API key, empty for none, not null
     */
    public Optional<String> admit(String queue, String key) {
        if (!mIsEnforced || mPublicQueues.contains(queue)) {
            return Optional.of(ClientAccount.NONE);
        }
        return Optional.ofNullable(mByKey.get(key)).map(ClientAccount::name);
    }
}
