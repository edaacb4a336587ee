package org.endivetray.job;

/**
 * One pool of the operators' configuration.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name name of the pool, not null
 * @param enforcesCapacity whether its minions refuse what does not fit
 * @param standby whether its workers are switched off and cost nothing
 */
public record PoolConfig(String name, boolean enforcesCapacity, boolean standby) {}
