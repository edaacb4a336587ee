package org.endivetray.job;

/**
 * A pool in the operators' configuration.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name name of the pool, not null
 * @param enforcesCapacity whether its minions refuse tasks that exceed their capacity
 * @param standby whether its workers are switched off and incur no cost
 */
public record PoolConfig(String name, boolean enforcesCapacity, boolean standby) {}
