package org.endivetray.policy.intake;

/**
 * The limits of what a daemon holds of requests that it has not answered.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param bodyBytes most bytes of the bodies that are held at one time; messages of other daemons
 *     have as many again
 * @param connections most open connections of callers
 * @param innerConnections most open connections of each other port
 */
public record IntakeLimits(long bodyBytes, int connections, int innerConnections) {
    /** Largest body of a request, in bytes, as the interface to callers defines it. */
    public static final int MAX_BODY_BYTES = 262_144;

    /** Largest head of a request, in bytes, as the interface to callers defines it. */
    public static final int MAX_HEAD_BYTES = 16_384;

    /**
     * Size of the kernel's buffers of a connection, which hold what is not read yet, in bytes. The
     * kernel's own limits are far above the memory of a host for all connections together.
     */
    public static final int SOCKET_BUFFER_BYTES = 16 * 1_024;

    /** Most connections to a port other than that of callers that wait to be accepted. */
    public static final int INNER_BACKLOG = 256;

    /** Smallest budget, which holds a body of the largest size beside the share of small ones. */
    public static final long MIN_BODY_BYTES = 2L * MAX_BODY_BYTES;

    /** Largest share of the heap that the budget may take; the rest holds jobs and copies. */
    public static final int MAX_HEAP_SHARE_DIVISOR = 4;

    private static final long DEFAULT_BODY_BYTES = 24L << 20;
    private static final int DEFAULT_HEAP_SHARE_DIVISOR = 8;
    private static final int DEFAULT_CONNECTIONS = 1_000;
    private static final int DEFAULT_INNER_CONNECTIONS = 300;

    /**
     * Returns the room for bodies that is used where the settings have none, which holds at least
     * one body of the largest size beside the share of small ones.
     *
     * @param heapBytes the largest heap of the process, in bytes
     * @param maxBodyBytes the largest body, in bytes
     */
    public static long bodyBytes(long heapBytes, int maxBodyBytes) {
        long share = Math.min(DEFAULT_BODY_BYTES, heapBytes / DEFAULT_HEAP_SHARE_DIVISOR);
        return Math.max(2L * maxBodyBytes, share);
    }

    /**
     * Returns the limits that are used where the settings have none.
     *
     * @param heapBytes the largest heap of the process, in bytes
     */
    public static IntakeLimits ofHeap(long heapBytes) {
        return new IntakeLimits(
                bodyBytes(heapBytes, MAX_BODY_BYTES),
                DEFAULT_CONNECTIONS,
                DEFAULT_INNER_CONNECTIONS);
    }

    /** Returns a copy with another limit of the connections of each other port. */
    public IntakeLimits withInnerConnections(int connections) {
        return new IntakeLimits(bodyBytes, this.connections, connections);
    }
}
