package org.endivetray.daemon.state;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The keys under which the state of the fleet is stored.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class StateKeys {
    /** Prefix of all records that each daemon watches and keeps in memory. */
    public static final String FLEET = "fleet/";

    /** Prefix of the registrations of daemons. */
    public static final String DAEMON = FLEET + "daemon/";

    /** Prefix of the liveness records of daemons, each stored under a lease. */
    public static final String LIVENESS = FLEET + "alive/";

    /** Prefix of pools. */
    public static final String POOL = FLEET + "pool/";

    /** Prefix of members. */
    public static final String MEMBER = FLEET + "member/";

    /** Prefix of the shards of host records. */
    public static final String HOST_SHARD = FLEET + "hosts/";

    /** Prefix of the outage ledgers of pools. */
    public static final String LEDGER = FLEET + "ledger/";

    /** Prefix of plans. */
    public static final String PLAN = FLEET + "plan/";

    /** Key of the locks of plans on workers, pools and members. */
    public static final String PLAN_LOCKS = FLEET + "holds";

    /** Prefix of idempotency claims, which no daemon watches. */
    public static final String CLAIM = "claim/";

    private StateKeys() {}

    /**
     * Returns the key of the shard with the host record of a worker.
     *
     * @param worker the name of the worker, not null
     * @param shards number of shards, 1 or more
     */
    public static String hostShard(String worker, int shards) {
        byte[] bytes = worker.getBytes(StandardCharsets.UTF_8);
        int hash = MurmurHash3.hash32x86(bytes);
        return HOST_SHARD + Math.floorMod(hash, shards);
    }
}
