package org.endivetray.daemon.job.record;

import org.endivetray.job.JobSpec;
import org.endivetray.job.QueueConfig;

/**
 * The stored form of an accepted job; it is written once.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pool pool whose owner runs the job, not null
 * @param queue the queue as it was configured when the job was accepted, not null
 * @param spec what to run, not null
 * @param acceptedMillis time of acceptance, in milliseconds since 1970
 */
public record StoredJob(String pool, QueueConfig queue, JobSpec spec, long acceptedMillis) {}
