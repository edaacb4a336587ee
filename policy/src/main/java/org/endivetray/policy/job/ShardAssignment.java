package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.endivetray.policy.Rendezvous;

/**
 * Spreads shards over daemons so that each owns about as many as the others.
 *
 * <p>Daemons that know the same owners choose alike; no choice moves a shard that has an owner.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class ShardAssignment {
    private ShardAssignment() {}

    /**
     * Returns for each free shard the daemons that may take it, the first choice first.
     *
     * @param free names of the shards without an owner, not null
     * @param owners owner by shard, not null
     * @param daemons names of the live daemons, not null
     */
    public static Map<String, List<String>> candidates(
            Collection<String> free, Map<String, String> owners, Collection<String> daemons) {
        Map<String, Integer> counts = new HashMap<>();
        daemons.forEach(daemon -> counts.put(daemon, 0));
        owners.values().forEach(daemon -> counts.computeIfPresent(daemon, (d, n) -> n + 1));
        Map<String, List<String>> result = new HashMap<>();
        for (String shard : new TreeSet<>(free)) {
            List<String> order = byRendezvous(shard, daemons);
            order.sort(Comparator.comparingInt(counts::get));
            result.put(shard, order);
            if (!order.isEmpty()) {
                counts.merge(order.get(0), 1, Integer::sum);
            }
        }
        return result;
    }

    private static List<String> byRendezvous(String shard, Collection<String> daemons) {
        List<String> left = new ArrayList<>(daemons);
        List<String> order = new ArrayList<>();
        while (!left.isEmpty()) {
            String next = Rendezvous.owner(shard, left).orElseThrow();
            order.add(next);
            left.remove(next);
        }
        return order;
    }

    /**
     * Returns whether a daemon owns so many shards that it should give one up.
     *
     * @param self the daemon, not null
     * @param owners owner by shard, not null
     * @param daemons names of the live daemons, not null
     */
    public static boolean isOverloaded(
            String self, Map<String, String> owners, Collection<String> daemons) {
        Map<String, Integer> counts = new HashMap<>();
        daemons.forEach(daemon -> counts.put(daemon, 0));
        owners.values().forEach(daemon -> counts.computeIfPresent(daemon, (d, n) -> n + 1));
        int fewest = counts.values().stream().mapToInt(n -> n).min().orElse(0);
        return counts.getOrDefault(self, 0) >= fewest + 2;
    }
}
