package org.endivetray;

/**
 * The address of a minion and the service that it provides.
 *
 * <p>Invariants: no component is null; the port is between 1 and 65535.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param service the service's name, not null
 * @param host the IP address, not null
 * @param port the TCP port
 */
public record MinionEndpoint(String service, String host, int port) {
    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
