package org.endivetray.daemon.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.endivetray.policy.MinionChooser;

/**
 * A policy by which daemons share the slots of minions.
 *
 * <p>{@link #GRANTED} is the default; the others are kept as baselines for measurements.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum RoutingPolicy {
    /** The owner of a service grants slots to the daemons according to their demand. */
    GRANTED {
        @Override
        int fixedLimit(int slots, int connections, int entryHosts) {
            return NO_FIXED_LIMIT;
        }

        @Override
        Optional<MinionState> choose(MinionChooser chooser, List<MinionState> candidates) {
            return chooser.leastLoaded(candidates);
        }
    },
    /** Each daemon may use an equal share of each minion's slots. */
    STATIC {
        @Override
        int fixedLimit(int slots, int connections, int entryHosts) {
            return Math.max(1, slots / entryHosts);
        }

        @Override
        Optional<MinionState> choose(MinionChooser chooser, List<MinionState> candidates) {
            return chooser.leastLoaded(candidates);
        }
    },
    /**
     * Each daemon sends to the less loaded of two random minions; minions refuse excess requests.
     */
    P2C {
        @Override
        int fixedLimit(int slots, int connections, int entryHosts) {
            return Math.max(1, connections / entryHosts);
        }

        @Override
        Optional<MinionState> choose(MinionChooser chooser, List<MinionState> candidates) {
            return chooser.leastLoadedOfTwo(candidates);
        }
    };

    /** Value of the fixed limit under a policy by which owners grant limits. */
    static final int NO_FIXED_LIMIT = -1;

    /** Returns the policy with the given name in the settings. */
    static RoutingPolicy ofName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns the maximum number of requests in flight from this daemon at each minion, or {@link
     * #NO_FIXED_LIMIT}.
     *
     * @param slots maximum number of requests that a minion runs at once
     * @param connections maximum number of connections that a minion accepts
     * @param entryHosts maximum number of daemons
     */
    abstract int fixedLimit(int slots, int connections, int entryHosts);

    /** Returns the minion to use for a request, or empty if none has a free slot. */
    abstract Optional<MinionState> choose(MinionChooser chooser, List<MinionState> candidates);
}
