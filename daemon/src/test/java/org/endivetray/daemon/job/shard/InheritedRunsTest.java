package org.endivetray.daemon.job.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Runs of earlier owners that a successor does not know yet. */
class InheritedRunsTest {
    private final InheritedRuns mRuns = new InheritedRuns();

    InheritedRunsTest() {
        mRuns.setLeaseEnd(10);
    }

    @Test
    void aClosedMinionThatNamesNoTaskHasNoUnknownRun() {
        mRuns.addClosed("m1", Set.of());
        assertThat(mRuns.isReconciled()).isFalse();
        assertThat(mRuns.mayExist(0)).isFalse();
    }

    @Test
    void aClosedMinionMayHaveRunsOfTheTasksThatItNames() {
        mRuns.addClosed("m1", Set.of("a.0.0.1"));
        assertThat(mRuns.mayExist(0)).isTrue();
        assertThat(mRuns.mayExist(10)).isFalse();
    }

    @Test
    void anOpenMinionMayHaveRunsUntilItAnswers() {
        mRuns.addOpen("m1");
        assertThat(mRuns.mayExist(0)).isTrue();
        mRuns.onReconciled("m1");
        assertThat(mRuns.mayExist(0)).isFalse();
    }

    @Test
    void aClosedMinionHasRunsOfNoOtherJobThanThoseThatItNames() {
        mRuns.addClosed("m1", Set.of("a.0.0.1"));
        assertThat(mRuns.mayIncludeTaskOf("a", 0)).isTrue();
        assertThat(mRuns.mayIncludeTaskOf("b", 0)).isFalse();
        mRuns.addOpen("m2");
        assertThat(mRuns.mayIncludeTaskOf("b", 0)).isTrue();
        assertThat(mRuns.mayIncludeTaskOf("b", 10)).isFalse();
    }
}
