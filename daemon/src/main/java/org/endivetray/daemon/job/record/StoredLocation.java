package org.endivetray.daemon.job.record;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.endivetray.EndivetrayException;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;

/**
 * The stored form of the pool that has accepted a job. It is written in the same commit as the job
 * and removed before it.
 *
 * <p>The configuration in force says where new jobs of a queue run. A job stays in the pool that
 * has accepted it, also if its queue is sent to another one later.
 *
 * <p>Acceptance requires that the job has no location. A job that was cancelled before any pool has
 * accepted it is therefore given one without a pool, a tombstone, so that no submission whose
 * outcome is unknown, or which arrives later, is accepted.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pool name of the pool, empty for a tombstone, not null
 */
public record StoredLocation(String pool) {
    private static final Logger LOGGER = System.getLogger(StoredLocation.class.getName());

    /** The location of a job that is never accepted. */
    public static final StoredLocation TOMBSTONE = new StoredLocation("");

    /** Returns the location in a stored record, which must exist. */
    public static StoredLocation decode(VersionedValue item) {
        return RecordCodec.decode(item.key(), item.value(), StoredLocation.class);
    }

    /**
     * Returns whether a record is a tombstone: the job was cancelled and is never accepted. One
     * that cannot be read is none.
     */
    public static boolean isTombstone(VersionedValue item) {
        try {
            return item.isPresent() && decode(item).equals(TOMBSTONE);
        } catch (EndivetrayException e) {
            LOGGER.log(Level.ERROR, "state: unreadable record key={0} {1}", item.key(), e);
            return false;
        }
    }

    /**
     * Returns the write that records the pool of a job.
     *
     * @param job id of the job, not null
     * @param pool name of the pool, not null
     */
    public static Write write(String job, String pool) {
        return new Write(
                JobKeys.location(job),
                RecordCodec.encode(new StoredLocation(pool)),
                SharedStore.NO_LEASE);
    }
}
