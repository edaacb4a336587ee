package org.endivetray;

/**
 * The stored fact of which pool a worker belongs to and whether it is in service.
 *
 * <p>Invariants: a worker has one record, so it is in one pool; the epoch rises with each change.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param worker the worker's name, not null
 * @param pool the pool's name, not null
 * @param state the operators' side of the worker's life, not null
 * @param epoch number of changes since the record was created
 * @param planId the plan that changed the record last, empty if none, not null
 */
public record HostRecord(String worker, String pool, HostState state, long epoch, String planId) {
    /** Returns a record of a worker that has just joined a pool. */
    public static HostRecord ofActive(String worker, String pool) {
        return new HostRecord(worker, pool, HostState.ACTIVE, 1, "");
    }

    /** Returns a copy in another state, with the epoch raised. */
    public HostRecord withState(HostState state, String planId) {
        return new HostRecord(worker, pool, state, epoch + 1, planId);
    }

    /** Returns a copy in another pool, active, with the epoch raised. */
    public HostRecord withPool(String pool, String planId) {
        return new HostRecord(worker, pool, HostState.ACTIVE, epoch + 1, planId);
    }
}
