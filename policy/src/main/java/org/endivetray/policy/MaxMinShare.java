package org.endivetray.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a whole number of units by max-min fairness.
 *
 * <p>A share is below its demand only if no other share exceeds it by more than one unit. Units
 * beyond the total demand are spread evenly.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class MaxMinShare {
    private MaxMinShare() {}

    /**
     * Returns the share of each name. The shares add up to the total if there is any name.
     *
     * @param total units to divide, 0 or more
     * @param demand units that each name can use, 0 or more each, not null
     */
    public static Map<String, Integer> divide(int total, Map<String, Integer> demand) {
        List<String> names = new ArrayList<>(demand.keySet());
        names.sort(
                Comparator.<String>comparingInt(demand::get)
                        .thenComparing(Comparator.naturalOrder()));
        Map<String, Integer> shares = new TreeMap<>();
        int left = total;
        for (int i = 0; i < names.size(); i++) {
            int remaining = names.size() - i;
            int fair = (left + remaining - 1) / remaining;
            int share = Math.min(fair, demand.get(names.get(i)));
            shares.put(names.get(i), share);
            left -= share;
        }
        spread(left, names, shares);
        return shares;
    }

    private static void spread(int left, List<String> names, Map<String, Integer> shares) {
        for (int i = 0; i < names.size(); i++) {
            int extra = left / names.size() + (i < left % names.size() ? 1 : 0);
            shares.merge(names.get(i), extra, Integer::sum);
        }
    }
}
