package org.endivetray;

/**
 * A set of workers that can fail together.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum FailureDomain {
    /** No common failure is assumed. */
    NONE {
        @Override
        public String keyOf(ListedHost host) {
            return host.worker();
        }
    },
    /** Workers in one rack. */
    RACK {
        @Override
        public String keyOf(ListedHost host) {
            return host.rack();
        }
    },
    /** Workers in one availability zone. */
    ZONE {
        @Override
        public String keyOf(ListedHost host) {
            return host.zone();
        }
    };

    /**
     * Returns the name of the domain that the host is in.
     *
     * @param host the host, not null
     */
    public abstract String keyOf(ListedHost host);
}
