package org.endivetray.policy.intake;

import static org.assertj.core.api.Assertions.assertThat;

import org.endivetray.policy.intake.ConnectionTable.Phase;
import org.junit.jupiter.api.Test;

/** Tests which connection is closed for a new one while many clients hold theirs open. */
class ConnectionTableTest {
    private static final long START = 1_000_000;

    private final ConnectionTable<String> mTable = new ConnectionTable<>(3);

    private void open(Phase first, Phase second, Phase third) {
        mTable.add("a", START);
        mTable.add("b", START);
        mTable.add("c", START);
        mTable.enter("a", first, START);
        mTable.enter("b", second, START);
        mTable.enter("c", third, START);
    }

    @Test
    void noneIsClosedBelowTheLimit() {
        assertThat(mTable.add("a", START)).isNull();
        assertThat(mTable.add("b", START)).isNull();
        assertThat(mTable.size()).isEqualTo(2);
    }

    @Test
    void theConnectionThatIsIdleLongestIsClosedAtTheLimit() {
        open(Phase.IDLE, Phase.IDLE, Phase.IDLE);
        mTable.enter("a", Phase.IN_USE, START + 1);
        mTable.enter("a", Phase.IDLE, START + 2);
        assertThat(mTable.add("d", START + 3)).isEqualTo("b");
        assertThat(mTable.size()).isEqualTo(3);
    }

    @Test
    void aRefusedConnectionIsClosedBeforeAnIdleOne() {
        open(Phase.IDLE, Phase.IN_USE, Phase.REFUSED);
        assertThat(mTable.add("d", START)).isEqualTo("c");
    }

    @Test
    void aRequestThatIsBeingReceivedGivesWayOnlyAfterASecond() {
        open(Phase.IN_USE, Phase.RECEIVING, Phase.IN_USE);
        assertThat(mTable.add("d", START + 999)).isEqualTo("d");
        assertThat(mTable.add("e", START + 1_000)).isEqualTo("b");
    }

    @Test
    void aNewConnectionIsClosedWhileAllRequestsAreBeingAnswered() {
        open(Phase.IN_USE, Phase.IN_USE, Phase.IN_USE);
        assertThat(mTable.add("d", START + 60_000)).isEqualTo("d");
        assertThat(mTable.size()).isEqualTo(3);
    }

    @Test
    void aConnectionStaysInUseIfItsNextRequestBeganBeforeTheLastOneEnded() {
        open(Phase.IN_USE, Phase.IN_USE, Phase.IN_USE);
        long first = mTable.enter("a", Phase.IN_USE, START);
        long second = mTable.enter("a", Phase.IN_USE, START);
        mTable.leave("a", first, START);
        assertThat(mTable.add("d", START)).isEqualTo("d");
        mTable.leave("a", second, START);
        assertThat(mTable.add("d", START)).isEqualTo("a");
    }

    @Test
    void aClosedConnectionMakesRoom() {
        open(Phase.IN_USE, Phase.IN_USE, Phase.IN_USE);
        mTable.remove("b");
        mTable.remove("b");
        mTable.enter("b", Phase.IDLE, START);
        assertThat(mTable.add("d", START)).isNull();
    }
}
