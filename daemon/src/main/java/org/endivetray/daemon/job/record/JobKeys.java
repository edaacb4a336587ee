package org.endivetray.daemon.job.record;

/**
 * The keys under which daemons keep jobs and ownership in the shared store.
 *
 * <p>docs/STATE.md lists writer, condition and lifetime of each.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class JobKeys {
    /**
     * Prefix of the keys that all daemons watch. They are removed when the lease of a daemon ends,
     * except for those under {@link #POOL_QUEUES_PREFIX} and {@link #INBOX_PREFIX}.
     */
    public static final String LIVE_PREFIX = "endivetray/live/";

    /** Prefix of the daemons' addresses. */
    public static final String DAEMON_PREFIX = LIVE_PREFIX + "daemon/";

    /** Prefix of the shards' owners. */
    public static final String OWNER_PREFIX = LIVE_PREFIX + "owner/";

    /** Prefix of the queues of whose jobs the pools' owners hold records. */
    public static final String POOL_QUEUES_PREFIX = LIVE_PREFIX + "queues/";

    /** Prefix of the marks of pools in whose inbox their owner may have jobs to read. */
    public static final String INBOX_PREFIX = LIVE_PREFIX + "inbox/";

    /** Prefix of the pools' shares in the caps of client accounts. */
    public static final String QUOTA_PREFIX = "endivetray/quota/";

    private static final String LOCATION_PREFIX = "endivetray/location/";

    private static final String POOL_PREFIX = "endivetray/pool/";

    /** Ends the id of a job in the keys that continue its progress. */
    private static final char PART_SEPARATOR = '/';

    private JobKeys() {}

    /** Returns the prefix of the jobs that the pool's owner has accepted. */
    public static String jobs(String pool) {
        return POOL_PREFIX + pool + "/job/";
    }

    /** Returns the prefix of the jobs in the inbox. */
    public static String inboxJobs(String pool) {
        return inbox(pool) + "job/";
    }

    /** Returns the prefix of the cancellations in the inbox. */
    public static String inboxCancellations(String pool) {
        return inbox(pool) + "cancel/";
    }

    /**
     * Returns the prefix of the inbox, in which other daemons store jobs and cancellations when
     * they cannot reach the pool's owner.
     */
    public static String inbox(String pool) {
        return POOL_PREFIX + pool + "/deputy/";
    }

    /**
     * Returns the prefix of the jobs' progress. What has no place in the record of a job is stored
     * under {@link #progressParts}.
     */
    public static String progress(String pool) {
        return POOL_PREFIX + pool + "/progress/";
    }

    /**
     * Returns the prefix of the records that continue the progress of a job: its further parts
     * under their numbers, and long checkpoints under {@code OCCURRENCE.STEP.INDEX} of their task.
     */
    public static String progressParts(String pool, String job) {
        return progress(pool) + job + PART_SEPARATOR;
    }

    /**
     * Returns the id of the job to which a record under {@link #progress} belongs.
     *
     * @param name rest of the record's key behind the prefix, not null
     */
    public static String jobOfProgress(String name) {
        int end = name.indexOf(PART_SEPARATOR);
        return end < 0 ? name : name.substring(0, end);
    }

    /**
     * Returns the key of the pool that has accepted a job. The key exists while the job's record
     * does, so that a job is accepted by one pool only.
     */
    public static String location(String job) {
        return LOCATION_PREFIX + job;
    }

    /** Returns the key of the pools' shares in the cap of a client account. */
    public static String quota(String account) {
        return QUOTA_PREFIX + account;
    }

    /** Returns the key of the minions that may hold runs of the pool. */
    public static String minions(String pool) {
        return POOL_PREFIX + pool + "/minions";
    }
}
