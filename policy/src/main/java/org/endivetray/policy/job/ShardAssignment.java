package org.endivetray.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.endivetray.policy.RendezvousHash;

/**
 * Assigns shards to daemons in proportion to their processors.
 *
 * <p>Daemons that know the same owners compute the same assignment. No assignment moves a shard
 * that has an owner.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class ShardAssignment {
    private ShardAssignment() {}

    /**
     * Returns for each free shard the daemons that may take it, in order of preference.
     *
     * @param free names of the shards without an owner, not null
     * @param owners owner by shard, not null
     * @param daemons processors of each live daemon by its name, in thousandths of a core, not null
     */
    public static Map<String, List<String>> candidates(
            Collection<String> free, Map<String, String> owners, Map<String, Integer> daemons) {
        Map<String, Integer> counts = counts(owners, daemons);
        Map<String, List<String>> result = new HashMap<>();
        for (String shard : new TreeSet<>(free)) {
            List<String> order = byRendezvous(shard, daemons.keySet());
            order.sort(
                    Comparator.comparingDouble(daemon -> loadWithOneMore(daemon, counts, daemons)));
            result.put(shard, order);
            if (!order.isEmpty()) {
                counts.merge(order.get(0), 1, Integer::sum);
            }
        }
        return result;
    }

    private static Map<String, Integer> counts(
            Map<String, String> owners, Map<String, Integer> daemons) {
        Map<String, Integer> counts = new HashMap<>();
        daemons.keySet().forEach(daemon -> counts.put(daemon, 0));
        owners.values().forEach(daemon -> counts.computeIfPresent(daemon, (d, n) -> n + 1));
        return counts;
    }

    private static double loadWithOneMore(
            String daemon, Map<String, Integer> counts, Map<String, Integer> daemons) {
        return (counts.get(daemon) + 1) / (double) Math.max(1, daemons.get(daemon));
    }

    private static List<String> byRendezvous(String shard, Collection<String> daemons) {
        List<String> left = new ArrayList<>(daemons);
        List<String> order = new ArrayList<>();
        while (!left.isEmpty()) {
            String next = RendezvousHash.owner(shard, left).orElseThrow();
            order.add(next);
            left.remove(next);
        }
        return order;
    }

    /**
     * Returns the shard that an overloaded daemon releases first, empty if it owns none.
     *
     * @param owned names of the shards that it owns, not null
     * @param last name of the shard to release last, not null
     */
    public static Optional<String> releasedFirst(Collection<String> owned, String last) {
        return owned.stream()
                .min(
                        Comparator.comparing((String shard) -> shard.equals(last))
                                .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Returns whether another daemon with one more shard would be less loaded than this daemon is
     * now.
     *
     * @param self name of this daemon, not null
     * @param owners owner by shard, not null
     * @param daemons processors of each live daemon by its name, in thousandths of a core, not null
     * @return false if this daemon is not live
     */
    public static boolean isOverloaded(
            String self, Map<String, String> owners, Map<String, Integer> daemons) {
        Map<String, Integer> counts = counts(owners, daemons);
        if (!daemons.containsKey(self)) {
            return false;
        }
        double load = counts.get(self) / (double) Math.max(1, daemons.get(self));
        return daemons.keySet().stream()
                .anyMatch(daemon -> loadWithOneMore(daemon, counts, daemons) < load);
    }
}
