package org.endivetray.daemon.job.record;

import org.endivetray.job.ClientAccount;
import org.endivetray.job.JobSpec;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;

/**
 * The stored form of an accepted job; it is written once.
 *
 * <p>The client account is stored as an extension of the record, which daemons of earlier versions
 * skip and leave in the store.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pool pool whose owner runs the job, not null
 * @param queue the queue as it was configured when the job was accepted, not null
 * @param spec what to run, not null
 * @param acceptedMillis time of acceptance, in milliseconds since 1970
 * @param account name of the client account, {@link ClientAccount#NONE} if there is none, not null
 */
public record StoredJob(
        String pool, QueueConfig queue, JobSpec spec, long acceptedMillis, String account) {
    /** Constructs a job without a client account. */
    public StoredJob(String pool, QueueConfig queue, JobSpec spec, long acceptedMillis) {
        this(pool, queue, spec, acceptedMillis, ClientAccount.NONE);
    }

    /** Returns the encoded form. */
    public byte[] encode() {
        Base base = new Base(pool, queue, spec, acceptedMillis);
        return account.equals(ClientAccount.NONE)
                ? RecordCodec.encode(base)
                : RecordCodec.encodeExtended(base, new Extension(account));
    }

    /**
     * Returns the job in a stored record, which must exist.
     *
     * @throws org.endivetray.EndivetrayException with {@link
     *     org.endivetray.ResultCode#DAMAGED_RECORD} if it cannot be decoded
     */
    public static StoredJob decode(VersionedValue item) {
        Base base = RecordCodec.decode(item.key(), item.value(), Base.class);
        String account =
                RecordCodec.decodeExtension(item.key(), item.value(), Extension.class)
                        .map(Extension::account)
                        .orElse(ClientAccount.NONE);
        return new StoredJob(
                base.pool(), base.queue(), base.spec(), base.acceptedMillis(), account);
    }

    /** What all versions store. */
    private record Base(String pool, QueueConfig queue, JobSpec spec, long acceptedMillis) {}

    /** What versions with client accounts add. */
    private record Extension(String account) {
        private Extension {
            account = account == null ? ClientAccount.NONE : account;
        }
    }
}
