package org.endivetray.policy.intake;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how connections are paced that send bodies in very small chunks. */
class ChunkPacingTest {
    private final ChunkPacing mPacing = new ChunkPacing();

    @Test
    void manyChunksOfAByteAreCostlyAndFewOrLargeOnesAreNot() {
        assertThat(ChunkPacing.isCostly(300, 300)).isTrue();
        assertThat(ChunkPacing.isCostly(31, 31)).isFalse();
        assertThat(ChunkPacing.isCostly(300, 300 * 64)).isFalse();
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
