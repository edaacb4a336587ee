package org.endivetray.daemon.job.shard;

/** The stages of a shard, in the order in which it passes through them. */
enum ShardPhase {
    /** The stored state is being read. */
    LOADING,

    /** The minions that may run tasks of an earlier owner are being asked. */
    ADOPTING,

    /** Tasks are started. */
    ACTIVE,

    /** Another daemon owns the shard, or may. */
    LOST
}
