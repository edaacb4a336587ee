package org.endivetray.daemon.job.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.endivetray.job.JobSpec;
import org.endivetray.job.QueueConfig;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;
import org.junit.jupiter.api.Test;

/**
 * Tests that jobs of client accounts are stored in a form that daemons of earlier versions read.
 *
 * <p>This class is not thread-safe.
 */
class StoredJobTest {
    private static final QueueConfig QUEUE =
            new QueueConfig("charts", "h", "/c/", "ice", 0, 2, 2.0, 600, false);
    private static final JobSpec SPEC = new JobSpec("payload", List.of(), 0, 0, 0);
    private static final StoredJob JOB = new StoredJob("ice", QUEUE, SPEC, 17, "fleet-desk");

    /** The record as versions without client accounts know it. */
    private record EarlierJob(String pool, QueueConfig queue, JobSpec spec, long acceptedMillis) {}

    private static VersionedValue item(byte[] value) {
        return new VersionedValue("k", 1, value);
    }

    @Test
    void aJobKeepsItsAccountWhenItIsReadBack() {
        assertThat(StoredJob.decode(item(JOB.encode()))).isEqualTo(JOB);
    }

    @Test
    void anEarlierDaemonReadsAJobOfAnAccount() {
        assertThat(RecordCodec.decode("k", JOB.encode(), EarlierJob.class))
                .isEqualTo(new EarlierJob("ice", QUEUE, SPEC, 17));
    }

    @Test
    void aJobOfAnEarlierDaemonHasNoAccount() {
        byte[] earlier = RecordCodec.encode(new EarlierJob("ice", QUEUE, SPEC, 17));
        assertThat(StoredJob.decode(item(earlier)).account()).isEmpty();
    }

    @Test
    void aJobWithoutAnAccountIsStoredAsByAnEarlierDaemon() {
        byte[] earlier = RecordCodec.encode(new EarlierJob("ice", QUEUE, SPEC, 17));
        assertThat(new StoredJob("ice", QUEUE, SPEC, 17).encode()).isEqualTo(earlier);
    }

    @Test
    void whatALaterVersionAddsToTheExtensionIsIgnored() {
        byte[] record = RecordCodec.encode(new EarlierJob("ice", QUEUE, SPEC, 17));
        byte[] more =
                "{\"format\":1,\"account\":\"fleet-desk\",\"colour\":7}"
                        .getBytes(StandardCharsets.UTF_8);
        byte[] both = Arrays.copyOf(record, record.length + more.length);
        System.arraycopy(more, 0, both, record.length, more.length);
        assertThat(StoredJob.decode(item(both))).isEqualTo(JOB);
    }
}
