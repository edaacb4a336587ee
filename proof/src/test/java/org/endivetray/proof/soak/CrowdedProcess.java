package org.endivetray.proof.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A process of the product whose memory and descriptors are watched while clients crowd it.
 *
 * <p>Invariants: the highest number of open descriptors is that of all samples since the start.
 *
 * <p>This class is thread-safe.
 */
final class CrowdedProcess implements AutoCloseable {
    /** The Java runtime that runs the tests. */
    static final String JAVA = System.getProperty("java.home") + "/bin/java";

    /** The smallest host of the users' deployments has 330 MB, in MiB. */
    private static final long HOST_MIB = 330_000_000L >> 20;

    private static final long SAMPLE_MILLIS = 2;
    private static final long STOP_MILLIS = 10_000;

    private final Process mProcess;
    private final Path mLog;
    private volatile long mPeakDescriptors;

    private CrowdedProcess(Process process, Path log) {
        mProcess = process;
        mLog = log;
        Thread sampler = new Thread(this::sampleDescriptors, "descriptors");
        sampler.setDaemon(true);
        sampler.start();
    }

    /**
     * Starts a process in the root folder of the project.
     *
     * @param command the command, not null
     * @param environment variables that are added, not null
     * @param log file for its output, not null
     * @param descriptors most descriptors of the process, 0 for those of the machine
     */
    static CrowdedProcess start(
            List<String> command, Map<String, String> environment, Path log, int descriptors)
            throws IOException {
        List<String> words = new ArrayList<>();
        if (descriptors > 0) {
            words.addAll(List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        }
        words.addAll(command);
        File root = Path.of("..").toRealPath().toFile();
        ProcessBuilder builder = new ProcessBuilder(words).directory(root);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        return new CrowdedProcess(builder.start(), log);
    }

    /**
     * Returns the most memory that a process may use, in MiB: the smallest host without the part of
     * the deployed heap that the process does not have.
     */
    static long maxUsedMib(long deployedHeapMib, long heapMib) {
        return HOST_MIB - (deployedHeapMib - heapMib);
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the highest resident memory of the process in MiB, 0 if it has ended. */
    long peakResidentMib() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + mProcess.pid() + "/status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1_024)
                    .sum();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the number of open descriptors of the process, 0 if it has ended. */
    long descriptors() {
        String[] open = new File("/proc/" + mProcess.pid() + "/fd").list();
        return open == null ? 0 : open.length;
    }

    /** Returns the highest number of open descriptors in all samples. */
    long peakDescriptors() {
        return mPeakDescriptors;
    }

    /** Returns whether the output of the process contains a text. */
    boolean hasLogged(String text) throws IOException {
        return Files.readString(mLog).contains(text);
    }

    private void sampleDescriptors() {
        try {
            while (mProcess.isAlive()) {
                mPeakDescriptors = Math.max(mPeakDescriptors, descriptors());
                Thread.sleep(SAMPLE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws InterruptedException {
        mProcess.destroyForcibly().waitFor(STOP_MILLIS, TimeUnit.MILLISECONDS);
    }
}
