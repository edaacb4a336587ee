package org.endivetray.daemon.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.endivetray.policy.MinionChooser;

/**
 * The ways to share minions between daemons.
 *
 * <p>{@link #GRANTED} is the one in force; the others are kept as baselines to measure against.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum RoutingPolicy {
    /** An owner grants slots to the daemons where requests wait. */
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
    /** Each daemon may use an equal part of each minion's slots. */
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
    /** Each daemon sends to the less loaded of two random minions; minions refuse the excess. */
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

    /** Says that limits are granted and not fixed. */
    static final int NO_FIXED_LIMIT = -1;

    /** Returns the policy of the name in the settings. */
    static RoutingPolicy ofName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns the limit of each minion, or {@link #NO_FIXED_LIMIT}.
     *
     * @param slots requests that a minion runs at once
     * @param connections connections that a minion accepts
     * @param entryHosts highest number of daemons
     */
    abstract int fixedLimit(int slots, int connections, int entryHosts);

    /** Returns the minion for a request, or empty if none has a free slot. */
    abstract Optional<MinionState> choose(MinionChooser chooser, List<MinionState> candidates);
}
