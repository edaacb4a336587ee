package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;

/**
 * Checks the platform's rules on whole daemons under random courses of failures. A course that
 * breaks one is repeated with a trace.
 *
 * <p>This class is not thread-safe.
 */
class DaemonProperties {
    /** All kinds of events. */
    private static final String MIXED = "pktsonmurdvwxchlg";

    /** Events after which an owner and its successor reach different minions. */
    static final String PARTITIONS = "ppwwhhmmuuxxrv";

    static void check(long seed, String kinds) {
        List<String> broken;
        try (CourseLog quiet = new CourseLog(null)) {
            DaemonCourse course = new DaemonCourse(seed, kinds);
            course.execute();
            broken = CourseChecks.of(course);
        }
        if (!broken.isEmpty()) {
            DaemonCourse again = new DaemonCourse(seed, kinds);
            try (CourseLog log = new CourseLog(again)) {
                again.execute();
                assertThat(broken)
                        .as("course %d of %s\n%s", seed, kinds, String.join("\n", log.trace()))
                        .isEmpty();
            }
        }
    }

    @Property(tries = 80, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void rulesHoldUnderRandomFailures(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        check(seed, MIXED);
    }

    @Property(tries = 80, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void rulesHoldWhileDaemonsReachDifferentMinions(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        check(seed, PARTITIONS);
    }
}
