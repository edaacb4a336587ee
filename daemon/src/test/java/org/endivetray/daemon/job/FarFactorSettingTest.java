package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.endivetray.EndivetrayException;
import org.junit.jupiter.api.Test;

/**
 * Tests the optional setting of the factor of durations away from the data.
 *
 * <p>This class is not thread-safe.
 */
class FarFactorSettingTest {
    private static JobSettings settings(String more) {
        return JobSettings.ofText(
                "{\"name\": \"d\", \"zone\": \"z\", \"host\": \"127.0.0.1\","
                        + " \"front\": \"127.0.0.1:1\", \"ready\": \"127.0.0.1:2\","
                        + " \"innerPort\": 3, \"metricsPort\": 4, \"store\": \"127.0.0.1:5\","
                        + " \"machines\": \"127.0.0.1:6\", \"cpuShare\": 1, \"cores\": 1,"
                        + " \"maxLeaseMillis\": 6000, \"holderMillis\": 3000,"
                        + " \"retentionSeconds\": 120, \"graceSeconds\": 6"
                        + more
                        + "}");
    }

    @Test
    void theFactorIsReadAndMayBeAbsent() {
        assertThat(settings(", \"farFactor\": 1.5").farFactor()).isEqualTo(1.5);
        assertThat(settings("").farFactor()).isZero();
    }

    @Test
    void aFactorBelowOneIsRefused() {
        assertThatThrownBy(() -> settings(", \"farFactor\": 0.5"))
                .isInstanceOf(EndivetrayException.class)
                .hasMessageContaining("farFactor");
    }
}
