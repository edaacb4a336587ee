package org.endivetray.daemon.job.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;
import org.junit.jupiter.api.Test;

/** Tests the stored form of minions, also as versions without closed minions read it. */
class StoredMinionsTest {
    private static final MinionInfo OPEN = minion("m1");
    private static final MinionInfo SILENT = minion("m2");
    private static final StoredMinions MINIONS =
            new StoredMinions(
                    List.of(OPEN), List.of(new StoredMinions.Closed(SILENT, Set.of("t1", "t2"))));

    /** The form of versions without closed minions. */
    private record EarlierForm(List<MinionInfo> minions) {}

    private static MinionInfo minion(String id) {
        return new MinionInfo(
                id, "ice", "127.0.0.1", 1, "z", false, 8_000, 100, 0, List.of("kind", "rack"), 7);
    }

    private static VersionedValue item(byte[] value) {
        return new VersionedValue("minions", 3, value);
    }

    @Test
    void closedMinionsAreReadAsTheyWereStored() {
        assertThat(StoredMinions.decode(item(MINIONS.encode()))).isEqualTo(MINIONS);
    }

    /** An earlier version has to store the list again before it starts anything on the minion. */
    @Test
    void anEarlierVersionFindsAClosedMinionUnderAnotherId() {
        EarlierForm read = RecordCodec.decode("minions", MINIONS.encode(), EarlierForm.class);
        assertThat(read.minions()).hasSize(2).contains(OPEN).doesNotContain(SILENT);
        assertThat(read.minions().get(1).host()).isEqualTo(SILENT.host());
    }

    /** An earlier version drops what it does not know, so nothing is known of the runs then. */
    @Test
    void aClosedMinionThatAnEarlierVersionHasStoredAgainIsOpen() {
        EarlierForm read = RecordCodec.decode("minions", MINIONS.encode(), EarlierForm.class);
        StoredMinions again = StoredMinions.decode(item(RecordCodec.encode(read)));
        assertThat(again.closed()).isEmpty();
        assertThat(again.open()).isEqualTo(read.minions());
    }
}
