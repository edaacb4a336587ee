package org.endivetray.daemon.job.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.platform.site.SiteCodec;
import org.junit.jupiter.api.Test;

/**
 * Tests that a revoked key stays revoked, whatever the daemon reads later.
 *
 * <p>This class is not thread-safe.
 */
class RevokedKeysTest {
    private static final long SILENCE_MILLIS = 3_000;
    private static final String QUEUE = "charts";

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private final SiteWatch mWatch = startedWatch();

    private SiteWatch startedWatch() {
        SiteWatch watch =
                new SiteWatch(
                        mStore, mExecutor, StoreWatch.Timing.ofSilence(SILENCE_MILLIS), () -> {});
        watch.start();
        return watch;
    }

    private void putConfig(long version, String keys) {
        String text =
                "{\"version\":"
                        + version
                        + ",\"routes\":[{\"name\":\"charts\",\"host\":\"h\",\"prefix\":\"/c/\"}],"
                        + "\"tenants\":[{\"name\":\"desk\",\"api_keys\":["
                        + keys
                        + "]}]}";
        mStore.put(SiteCodec.CONFIG_KEY, text.getBytes(StandardCharsets.UTF_8));
    }

    private static boolean isValid(SiteWatch watch) {
        return watch.config().accounts().admit(QUEUE, "k1").isPresent();
    }

    @Test
    void aRevokedKeyIsRejectedAtOnceInCalm() {
        putConfig(1, "\"k1\"");
        mExecutor.advance(100);
        assertThat(isValid(mWatch)).isTrue();
        putConfig(2, "\"k2\"");
        mExecutor.advance(100);
        assertThat(isValid(mWatch)).isFalse();
    }

    @Test
    void aRevokedKeyIsRejectedInTimeAfterTheConnectionsHaveGoneSilent() {
        putConfig(1, "\"k1\"");
        mExecutor.advance(100);
        mStore.silenceWatches();
        putConfig(2, "");
        mExecutor.advance(SILENCE_MILLIS);
        assertThat(isValid(mWatch)).isFalse();
    }

    @Test
    void aRevokedKeyStaysRevokedWhenAnEarlierVersionIsReadLater() {
        putConfig(2, "");
        mExecutor.advance(100);
        putConfig(1, "\"k1\"");
        mExecutor.advance(100);
        assertThat(isValid(mWatch)).isFalse();
    }

    @Test
    void aDaemonThatStartsKnowsNoRevokedKey() {
        putConfig(1, "\"k1\"");
        mExecutor.advance(100);
        putConfig(2, "");
        SiteWatch restarted = startedWatch();
        mExecutor.advance(100);
        assertThat(isValid(restarted)).isFalse();
    }
}
