package org.endivetray.daemon.job.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which records keep a job from being accepted.
 *
 * <p>This class is not thread-safe.
 */
class StoredLocationTest {
    private static VersionedValue stored(Write write) {
        return new VersionedValue(write.key(), 7, write.value());
    }

    @Test
    void aLocationWithoutAPoolIsATombstone() {
        Write tombstone = StoredLocation.write("j1", StoredLocation.TOMBSTONE.pool());
        assertThat(StoredLocation.isTombstone(stored(tombstone))).isTrue();
        Write location = StoredLocation.write("j1", "ice");
        assertThat(StoredLocation.isTombstone(stored(location))).isFalse();
        assertThat(StoredLocation.isTombstone(VersionedValue.absent("j1"))).isFalse();
    }

    /** Guards against a batch of changes that is lost with a record which cannot be read. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x", "{}", "[1]", "{\"format\":1,\"pool\":3,\"more\":[]}"})
    void aRecordThatCannotBeReadIsNoTombstone(String text) {
        byte[] value = text.getBytes(StandardCharsets.UTF_8);
        assertThat(StoredLocation.isTombstone(new VersionedValue("k", 7, value))).isFalse();
    }
}
