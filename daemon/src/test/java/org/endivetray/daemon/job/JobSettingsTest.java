package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.endivetray.EndivetrayException;
import org.endivetray.policy.intake.IntakeLimits;
import org.junit.jupiter.api.Test;

/** Tests the settings that limit what clients can make a daemon hold. */
class JobSettingsTest {
    private static final long HEAP_BYTES = Runtime.getRuntime().maxMemory();

    private static IntakeLimits limits(String lines) {
        return JobSettings.ofText(
                        "{\"name\": \"e1\", \"zone\": \"a\", \"host\": \"127.0.0.1\","
                                + "\"front\": \"127.0.0.1:0\", \"ready\": \"127.0.0.1:0\","
                                + "\"innerPort\": 0, \"metricsPort\": 0,"
                                + "\"store\": \"127.0.0.1:1\", \"machines\": \"127.0.0.1:1\","
                                + "\"cpuShare\": 1, \"cores\": 1, \"maxLeaseMillis\": 6000,"
                                + "\"holderMillis\": 3000, \"retentionSeconds\": 120,"
                                + lines
                                + "\"graceSeconds\": 6}")
                .intake();
    }

    @Test
    void limitsThatAreAbsentFollowFromTheHeap() {
        assertThat(limits("")).isEqualTo(IntakeLimits.ofHeap(HEAP_BYTES));
        assertThat(IntakeLimits.ofHeap(200L << 20).bodyBytes()).isEqualTo(24L << 20);
        assertThat(IntakeLimits.ofHeap(40L << 20).bodyBytes()).isEqualTo(5L << 20);
        assertThat(IntakeLimits.ofHeap(1).bodyBytes()).isEqualTo(IntakeLimits.MIN_BODY_BYTES);
    }

    @Test
    void limitsThatAreGivenAreUsed() {
        String lines =
                "\"intakeBytes\": 600000, \"maxConnections\": 7, \"maxInnerConnections\": 8,";
        assertThat(limits(lines)).isEqualTo(new IntakeLimits(600_000, 7, 8));
    }

    @Test
    void limitsOutOfRangeAreReportedTogether() {
        long tooMany = HEAP_BYTES / IntakeLimits.MAX_HEAP_SHARE_DIVISOR + 1;
        String lines =
                "\"intakeBytes\": "
                        + tooMany
                        + ", \"maxConnections\": 0, \"maxInnerConnections\": 1.5,";
        assertThatThrownBy(() -> limits(lines))
                .isInstanceOf(EndivetrayException.class)
                .hasMessageContaining("intakeBytes: must be from 524288")
                .hasMessageContaining("maxConnections: must be from 1")
                .hasMessageContaining("maxInnerConnections: must be from 1");
    }
}
