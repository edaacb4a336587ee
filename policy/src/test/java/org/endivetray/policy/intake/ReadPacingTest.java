package org.endivetray.policy.intake;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how connections are paced whose reads are costly for their size. */
class ReadPacingTest {
    private final ReadPacing mPacing = new ReadPacing();

    @Test
    void manyChunksOfAByteAreCostlyAndFewOrLargeOnesAreNot() {
        assertThat(ReadPacing.isCostly(1, 300, 300)).isTrue();
        assertThat(ReadPacing.isCostly(1, 31, 31)).isFalse();
        assertThat(ReadPacing.isCostly(1, 300, 300 * 64)).isFalse();
    }

    @Test
    void manyRequestsInAReadAreCostlyAndFewAreNot() {
        assertThat(ReadPacing.isCostly(4, 0, 0)).isTrue();
        assertThat(ReadPacing.isCostly(3, 0, 0)).isFalse();
    }

    @Test
    void aSingleConnectionIsNotPaused() {
        mPacing.enter();
        assertThat(mPacing.pauseMillis()).isZero();
    }

    @Test
    void allConnectionsTogetherAreReadAtABoundedRate() {
        for (int i = 0; i < 901; i++) {
            mPacing.enter();
        }
        assertThat(mPacing.pauseMillis()).isEqualTo(3_600);
        for (int i = 0; i < 900; i++) {
            mPacing.leave();
        }
        assertThat(mPacing.pauseMillis()).isZero();
    }
}
