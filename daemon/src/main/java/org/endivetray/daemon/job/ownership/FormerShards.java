package org.endivetray.daemon.job.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The shards that this daemon has lost without another owner, as after an outage of the store in
 * which the leases of all daemons have expired.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class FormerShards {
    private final Map<String, Long> mTokens = new HashMap<>();

    /** Adds shards, with the tokens under which this daemon owned them. */
    void addAll(Map<String, Long> tokens) {
        mTokens.putAll(tokens);
    }

    /** Removes a shard that this daemon owns again or is not to claim. */
    void remove(String shard) {
        mTokens.remove(shard);
    }

    /**
     * Returns the shards that have no owner, and forgets those that have had another one or are not
     * wanted any more.
     */
    List<String> withoutOwner(OwnershipView view, Set<String> wanted) {
        mTokens.entrySet()
                .removeIf(
                        former -> {
                            OwnershipView.ShardOwner owner = view.owners().get(former.getKey());
                            return owner != null && owner.token() > former.getValue()
                                    || !wanted.contains(former.getKey());
                        });
        return mTokens.keySet().stream()
                .filter(shard -> !view.owners().containsKey(shard))
                .toList();
    }
}
