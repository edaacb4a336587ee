package org.endivetray.proof.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Runs daemons as processes through a short series of faults; {@code scripts/soak} runs longer
 * ones.
 *
 * <p>This class is not thread-safe.
 */
class SoakTest {
    private static final long LIMIT_SECONDS = 240;

    /** Runs a soak in a process of its own, whose daemons end with it, and returns its output. */
    private static String soak(int seed, String kinds, int seconds, int gapMillis)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak");
        File output = folder.resolve("output").toFile();
        Process process =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-Xmx512m",
                                "-XX:+UseSerialGC",
                                "-Dsun.net.httpserver.nodelay=true",
                                "-Dsun.net.httpserver.maxIdleConnections=4000",
                                "-Djdk.httpclient.allowRestrictedHeaders=host",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Soak.class.getName(),
                                Path.of("..").toRealPath().toString(),
                                folder.toString(),
                                Integer.toString(seed),
                                kinds,
                                Integer.toString(seconds),
                                Integer.toString(gapMillis))
                        .redirectErrorStream(true)
                        .redirectOutput(output)
                        .start();
        if (!process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            process.destroy();
            process.waitFor();
        }
        return Files.readString(output.toPath());
    }

    /** Guards against owners that act beside their successors, of which they are cut off. */
    @Test
    void noTaskRunsTwiceWhileOwnersArePartitionedPausedAndStopped() throws Exception {
        assertThat(soak(6, "zzzqtj", 45, 9_000)).contains(" breaches=0 ");
    }

    /**
     * Guards against what is done about a late write, a cancellation without a submission or a
     * moved queue while daemons are restarted, killed and paused: pools without owners, jobs that
     * run on.
     */
    @Test
    void nothingIsLostOrRunsOnWhileCommitsAreLateAndQueuesMove() throws Exception {
        assertThat(soak(503, "AAVUa", 40, 4_000)).contains(" breaches=0 ");
    }
}
