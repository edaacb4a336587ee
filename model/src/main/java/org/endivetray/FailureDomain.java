package org.endivetray;

/**
 * The extent of a failure that takes down several workers at once.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum FailureDomain {
    /** Workers fail independently of each other. */
    NONE {
        @Override
        public String keyOf(ListedHost host) {
            return host.worker();
        }
    },
    /** The workers of a rack fail together. */
    RACK {
        @Override
        public String keyOf(ListedHost host) {
            return host.rack();
        }
    },
    /** The workers of an availability zone fail together. */
    ZONE {
        @Override
        public String keyOf(ListedHost host) {
            return host.zone();
        }
    };

    /**
     * Returns the name of the failure domain that a host belongs to.
     *
     * @param host the host, not null
     */
    public abstract String keyOf(ListedHost host);
}
