package org.endivetray.daemon.job;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Repeats courses that have broken a rule.
 *
 * <p>This class is not thread-safe.
 */
class DaemonCourseTest {
    /**
     * Guards against runs that a new incarnation of a minion has confirmed and that are given up by
     * a listing which was requested before and has shown that incarnation first.
     */
    @ParameterizedTest
    @ValueSource(longs = {20_700, 20_986})
    void aRunThatANewIncarnationHasConfirmedIsNotStartedAgain(long seed) {
        DaemonProperties.check(seed, DaemonProperties.PARTITIONS);
    }
}
