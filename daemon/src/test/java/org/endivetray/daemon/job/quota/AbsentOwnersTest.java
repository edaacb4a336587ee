package org.endivetray.daemon.job.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.junit.jupiter.api.Test;

/**
 * Pools without an owner, on a virtual clock.
 *
 * <p>This class is not thread-safe.
 */
class AbsentOwnersTest {
    private static final long ABSENCE_MILLIS = 12_000;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private final AbsentOwners mOwners = new AbsentOwners(mStore, mExecutor, ABSENCE_MILLIS);

    private void check(int times, String... pools) {
        for (int i = 0; i < times; i++) {
            mOwners.check(Set.of(pools), mExecutor.nanoTime());
            mExecutor.advance(1_000);
        }
    }

    private Set<String> absent() {
        return mOwners.absent(mExecutor.nanoTime());
    }

    @Test
    void aPoolThatNoCheckOfTheWholeTimeHasFoundOwnedIsAbsent() {
        check(12, "sea");
        assertThat(absent()).isEmpty();
        check(2, "sea");
        assertThat(absent()).containsExactly("sea");
    }

    @Test
    void nothingIsAbsentOnceNoPoolIsLookedFor() {
        check(14, "sea");
        check(1);
        assertThat(absent()).isEmpty();
    }

    @Test
    void aPoolThatIsNoLongerLookedForIsForgotten() {
        check(14, "sea", "fog");
        check(1, "fog");
        assertThat(absent()).containsExactly("fog");
        check(1, "sea", "fog");
        assertThat(absent()).containsExactly("fog");
    }

    @Test
    void nothingIsAbsentAfterAGapInTheChecks() {
        check(14, "sea");
        mExecutor.advance(2_000);
        assertThat(absent()).isEmpty();
    }

    @Test
    void aPoolThatThisDaemonClaimsIsNotAbsent() {
        check(14, "sea", "fog");
        mOwners.forget("sea");
        assertThat(absent()).containsExactly("fog");
    }
}
