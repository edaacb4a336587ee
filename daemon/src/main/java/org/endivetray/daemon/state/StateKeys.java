package org.endivetray.daemon.state;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The keys under which records are stored.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class StateKeys {
    /** Prefix of everything that each daemon keeps in memory and watches. */
    public static final String FLEET = "fleet/";

    /** Prefix of daemons' registrations. */
    public static final String DAEMON = FLEET + "daemon/";

    /** Prefix of daemons' signs of life, each under a lease. */
    public static final String LIVENESS = FLEET + "alive/";

    /** Prefix of pools. */
    public static final String POOL = FLEET + "pool/";

    /** Prefix of members. */
    public static final String MEMBER = FLEET + "member/";

    /** Prefix of the shards of host records. */
    public static final String HOST_SHARD = FLEET + "hosts/";

    /** Prefix of pools' ledgers. */
    public static final String LEDGER = FLEET + "ledger/";

    /** Prefix of plans. */
    public static final String PLAN = FLEET + "plan/";

    /** The record of which plan holds which workers. */
    public static final String PLAN_LOCKS = FLEET + "holds";

    /** Prefix of idempotency claims, which nobody watches. */
    public static final String CLAIM = "claim/";

    private StateKeys() {}

    /**
     * Returns the key of the shard that holds a worker's record.
     *
     * @param worker the worker's name, not null
     * @param shards number of shards, 1 or more
     */
    public static String hostShard(String worker, int shards) {
        byte[] bytes = worker.getBytes(StandardCharsets.UTF_8);
        int hash = MurmurHash3.hash32x86(bytes);
        return HOST_SHARD + Math.floorMod(hash, shards);
    }
}
