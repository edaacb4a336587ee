package org.endivetray.policy.intake;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which connection is closed for replies that are not read. */
class ReplyBudgetTest {
    private final ReplyBudget<String> mBudget = new ReplyBudget<>(100);

    @Test
    void theConnectionWithMostUnreadBytesIsClosedWhenTheBudgetIsExceeded() {
        assertThat(mBudget.add("reads little", 60)).isNull();
        assertThat(mBudget.add("reads", 30)).isNull();
        assertThat(mBudget.add("reads", 20)).isEqualTo("reads little");
        assertThat(mBudget.unreadBytes()).isEqualTo(50);
    }

    @Test
    void repliesThatAreReadUseNothing() {
        for (int i = 0; i < 10; i++) {
            assertThat(mBudget.add("reads", 90)).isNull();
            mBudget.remove("reads", 90);
        }
        assertThat(mBudget.unreadBytes()).isZero();
    }

    @Test
    void aSingleReplyMayExceedTheBudget() {
        assertThat(mBudget.add("reads", 150)).isNull();
        assertThat(mBudget.add("other", 1)).isEqualTo("reads");
    }

    @Test
    void aRemovalAfterTheConnectionWasClosedHasNoEffect() {
        mBudget.add("closed", 60);
        mBudget.removeAll("closed");
        mBudget.remove("closed", 60);
        assertThat(mBudget.unreadBytes()).isZero();
    }
}
