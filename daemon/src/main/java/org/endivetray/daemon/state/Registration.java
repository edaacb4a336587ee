package org.endivetray.daemon.state;

/**
 * The stored registration of a daemon.
 *
 * <p>A daemon counts as present until its registration marks it as left or is deleted.
 *
 * <p>Invariants: a restarted daemon has a higher incarnation.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the daemon's name, not null
 * @param incarnation number that increases with each start of the daemon
 * @param zone the daemon's availability zone, not null
 * @param innerHost IP address for connections from other daemons, not null
 * @param innerPort port for connections from other daemons
 * @param left whether the daemon has finished all its requests and left
 */
public record Registration(
        String name, long incarnation, String zone, String innerHost, int innerPort, boolean left) {
    /** Returns a copy that marks the daemon as left. */
    public Registration withLeft() {
        return new Registration(name, incarnation, zone, innerHost, innerPort, true);
    }
}
