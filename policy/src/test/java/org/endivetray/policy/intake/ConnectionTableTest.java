package org.endivetray.policy.intake;

import static org.assertj.core.api.Assertions.assertThat;

import org.endivetray.policy.intake.ConnectionTable.Phase;
import org.junit.jupiter.api.Test;

/** Tests which connection is closed for a new one while many clients hold theirs open. */
class ConnectionTableTest {
    private final ConnectionTable<String> mTable = new ConnectionTable<>(3);

    private void open(Phase first, Phase second, Phase third) {
        mTable.add("a");
        mTable.add("b");
        mTable.add("c");
        mTable.enter("a", first);
        mTable.enter("b", second);
        mTable.enter("c", third);
    }

    @Test
    void noneIsClosedBelowTheLimit() {
        assertThat(mTable.add("a")).isNull();
        assertThat(mTable.add("b")).isNull();
        assertThat(mTable.size()).isEqualTo(2);
    }

    @Test
    void theConnectionThatIsIdleLongestIsClosedAtTheLimit() {
        open(Phase.IDLE, Phase.IDLE, Phase.IDLE);
        mTable.enter("a", Phase.IN_USE);
        mTable.enter("a", Phase.IDLE);
        assertThat(mTable.add("d")).isEqualTo("b");
        assertThat(mTable.size()).isEqualTo(3);
    }

    @Test
    void aRefusedConnectionIsClosedBeforeAnIdleOne() {
        open(Phase.IDLE, Phase.IN_USE, Phase.REFUSED);
        assertThat(mTable.add("d")).isEqualTo("c");
    }

    @Test
    void theBodyThatHasBeenArrivingLongestGivesWayIfNoneIsIdle() {
        open(Phase.IN_USE, Phase.RECEIVING, Phase.RECEIVING);
        assertThat(mTable.add("d")).isEqualTo("b");
        mTable.enter("d", Phase.RECEIVING);
        assertThat(mTable.add("e")).isEqualTo("c");
    }

    @Test
    void aNewConnectionIsClosedWhileAllRequestsAreBeingAnswered() {
        open(Phase.IN_USE, Phase.IN_USE, Phase.IN_USE);
        assertThat(mTable.add("d")).isEqualTo("d");
        assertThat(mTable.size()).isEqualTo(3);
    }

    @Test
    void aConnectionStaysInUseIfItsNextRequestBeganBeforeTheLastOneEnded() {
        open(Phase.IN_USE, Phase.IN_USE, Phase.IN_USE);
        long first = mTable.enter("a", Phase.IN_USE);
        long second = mTable.enter("a", Phase.IN_USE);
        mTable.leave("a", first);
        assertThat(mTable.add("d")).isEqualTo("d");
        mTable.leave("a", second);
        assertThat(mTable.add("d")).isEqualTo("a");
    }

    @Test
    void theKnownConnectionWithoutAMessageForLongestIsClosedIfAllAreKnown() {
        open(Phase.KNOWN, Phase.KNOWN, Phase.KNOWN);
        mTable.leave("a", mTable.enter("a", Phase.IN_USE), Phase.KNOWN);
        assertThat(mTable.add("d")).isEqualTo("b");
        mTable.enter("d", Phase.KNOWN);
        assertThat(mTable.add("e")).isEqualTo("c");
    }

    @Test
    void aConnectionWithoutAMessageIsClosedBeforeAKnownOne() {
        open(Phase.KNOWN, Phase.KNOWN, Phase.IDLE);
        assertThat(mTable.add("d")).isEqualTo("c");
    }

    @Test
    void aClosedConnectionMakesRoom() {
        open(Phase.IN_USE, Phase.IN_USE, Phase.IN_USE);
        mTable.remove("b");
        mTable.remove("b");
        mTable.enter("b", Phase.IDLE);
        assertThat(mTable.add("d")).isNull();
    }

    @Test
    void aConnectionWhoseRequestIsCompleteBeforeItIsClosedIsKept() {
        open(Phase.IDLE, Phase.IN_USE, Phase.IN_USE);
        assertThat(mTable.add("d")).isEqualTo("a");
        mTable.enter("a", Phase.IN_USE);
        assertThat(mTable.size()).isEqualTo(4);
        assertThat(mTable.giveWay("a")).isFalse();
        assertThat(mTable.chooseAboveLimit()).isEqualTo("d");
        assertThat(mTable.giveWay("d")).isTrue();
        assertThat(mTable.size()).isEqualTo(3);
        assertThat(mTable.chooseAboveLimit()).isNull();
    }

    @Test
    void aConnectionThatIsAboutToBeClosedGivesWayWhileItsBodyIsArriving() {
        open(Phase.IDLE, Phase.IN_USE, Phase.IN_USE);
        assertThat(mTable.add("d")).isEqualTo("a");
        mTable.enter("a", Phase.RECEIVING);
        assertThat(mTable.size()).isEqualTo(3);
        assertThat(mTable.giveWay("a")).isTrue();
        assertThat(mTable.giveWay("a")).isFalse();
        assertThat(mTable.size()).isEqualTo(3);
    }

    @Test
    void aConnectionThatIsAboutToBeClosedIsNotChosenAgain() {
        open(Phase.IDLE, Phase.IDLE, Phase.IN_USE);
        assertThat(mTable.add("d")).isEqualTo("a");
        assertThat(mTable.add("e")).isEqualTo("b");
        mTable.remove("a");
        assertThat(mTable.giveWay("a")).isFalse();
        assertThat(mTable.size()).isEqualTo(3);
    }

    @Test
    void aConnectionThatWasKeptIsCountedAboveTheLimitUntilAnotherGivesWay() {
        open(Phase.IDLE, Phase.IN_USE, Phase.IN_USE);
        mTable.add("d");
        mTable.enter("d", Phase.IN_USE);
        long use = mTable.enter("a", Phase.IN_USE);
        assertThat(mTable.chooseAboveLimit()).isNull();
        assertThat(mTable.add("e")).isEqualTo("e");
        mTable.leave("a", use);
        assertThat(mTable.chooseAboveLimit()).isEqualTo("a");
    }
}
