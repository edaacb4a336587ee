package org.endivetray.daemon.state;

/**
 * A daemon's entry in the store, kept until it has provably left.
 *
 * <p>Invariants: a restarted daemon has a higher incarnation.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the daemon's name, not null
 * @param incarnation rises with each start
 * @param zone the daemon's availability zone, not null
 * @param innerHost IP number for other daemons, not null
 * @param innerPort port for other daemons
 * @param left whether the daemon has finished all its requests and is gone
 */
public record Registration(
        String name, long incarnation, String zone, String innerHost, int innerPort, boolean left) {
    /** Returns a copy that says the daemon has finished and left. */
    public Registration withLeft() {
        return new Registration(name, incarnation, zone, innerHost, innerPort, true);
    }
}
