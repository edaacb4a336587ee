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
    public static final ClientAccounts NONE = new ClientAccounts(List.of(), Set.of(), false);

    private final Map<String, ClientAccount> mByName = new HashMap<>();
    private final Map<String, ClientAccount> mByKey = new HashMap<>();
    private final Set<String> mPublicQueues;
    private final boolean mIsEnforced;

    private ClientAccounts(
            List<ClientAccount> accounts, Set<String> publicQueues, boolean isEnforced) {
        for (ClientAccount account : accounts) {
            mByName.putIfAbsent(account.name(), account);
            account.keys().forEach(key -> mByKey.putIfAbsent(key, account));
        }
        mPublicQueues = Set.copyOf(publicQueues);
        mIsEnforced = isEnforced;
    }

    /**
     * Returns the accounts of a configuration that names accounts, of which there may be none.
     *
     * @param accounts the accounts, not null
     * @param publicQueues names of the queues that need no key, not null
     */
    public static ClientAccounts of(List<ClientAccount> accounts, Set<String> publicQueues) {
        return new ClientAccounts(accounts, publicQueues, true);
    }

    /** Returns whether callers of queues that are not public need a key. */
    public boolean isEnforced() {
        return mIsEnforced;
    }

    /** Returns the accounts by name. */
    public Map<String, ClientAccount> byName() {
        return Map.copyOf(mByName);
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
