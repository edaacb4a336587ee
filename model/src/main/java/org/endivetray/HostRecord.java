package org.endivetray;

/**
 * The stored record of a worker's pool and administrative state.
 *
 * <p>Invariants: a worker has one record, so it is in one pool; each change increments the epoch.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param worker the worker's name, not null
 * @param pool the pool's name, not null
 * @param state the administrative state, not null
 * @param epoch number of times the record was written, 1 when it is created
 * @param planId id of the plan that changed the record last, empty if none, not null
 */
public record HostRecord(String worker, String pool, HostState state, long epoch, String planId) {
    /** Returns a record of an active worker that has just joined a pool. */
    public static HostRecord ofActive(String worker, String pool) {
        return new HostRecord(worker, pool, HostState.ACTIVE, 1, "");
    }

    /** Returns a copy in another state, with the epoch incremented. */
    public HostRecord withState(HostState state, String planId) {
        return new HostRecord(worker, pool, state, epoch + 1, planId);
    }

    /** Returns an active copy in another pool, with the epoch incremented. */
    public HostRecord withPool(String pool, String planId) {
        return new HostRecord(worker, pool, HostState.ACTIVE, epoch + 1, planId);
    }
}
