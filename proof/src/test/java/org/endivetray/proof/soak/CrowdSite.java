package org.endivetray.proof.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One daemon as a process of its own beside a store, without minions, for clients that send more
 * than the daemon can hold.
 *
 * <p>Invariants: the process runs the command of the deploy file with a smaller heap, and its
 * descriptors may be limited.
 *
 * <p>This class is not thread-safe.
 */
final class CrowdSite implements AutoCloseable {
    private static final String JAVA = System.getProperty("java.home") + "/bin/java";
    private static final String DEPLOYED_HEAP = "-Xmx200m";
    private static final String HEAP = "-Xmx48m";
    private static final int START_TRIES = 300;
    private static final int SUBMIT_TRIES = 20;
    private static final int TRY_MILLIS = 100;
    private static final int RETRY_MILLIS = 1_000;
    private static final int CLIENT_TIMEOUT_MILLIS = 10_000;

    private final Path mFolder = Files.createTempDirectory("crowd");
    private final StoreEntrance mEntrance;
    private final LoopbackServer mWorkers;
    private final int mFrontPort = freePort();
    private final int mReadyPort = freePort();
    private final int mInnerPort = freePort();
    private final int mMetricsPort = freePort();
    private final Process mProcess;
    private long mNextJob = 0x1000;

    /**
     * Starts the platform and the daemon, and waits until the daemon accepts a job.
     *
     * @param limits lines that are added to the daemon's settings, not null
     * @param descriptors most descriptors of the process, 0 for those of the machine
     */
    CrowdSite(String limits, int descriptors) throws IOException, InterruptedException {
        SoakStore store = new SoakStore(new SoakRecord(mFolder.resolve("record")));
        mEntrance = store.entrance("edge-1");
        mWorkers =
                LoopbackServer.start(
                        0, request -> new LoopbackServer.Reply(404, LoopbackServer.object()));
        store.put("op/config", manifest());
        Path settings = Files.writeString(mFolder.resolve("settings.json"), settings(limits));
        mProcess = start(settings, descriptors);
        awaitFirstJob();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName(LoopbackServer.ADDRESS))) {
            return socket.getLocalPort();
        }
    }

    private static ObjectNode manifest() {
        ObjectNode manifest = LoopbackServer.object().put("version", 1);
        ObjectNode route = manifest.putArray("routes").addObject().put("name", "q-alpha");
        route.put("host", "yard.example").put("prefix", "/alpha/");
        route.put("type", "non_idempotent").put("timeout_ms", 3_000);
        route.put("target_latency_ms", 600).put("priority", 0).put("service", "alpha");
        route.put("attempts", 4).put("stretch", 1.6);
        ArrayNode services = manifest.putArray("services");
        ObjectNode service = services.addObject().put("name", "alpha");
        service.put("health_path", "/health").put("max_connections", 64).put("protocol", "h1");
        service.put("tls", false).put("enforces_capacity", true).put("standby", false);
        manifest.putObject("limits").put("max_body_bytes", 262_144);
        return manifest;
    }

    private String settings(String limits) {
        String address = "\"" + LoopbackServer.ADDRESS;
        return String.join(
                "\n",
                "{\"name\": \"edge-1\", \"zone\": \"a\", \"host\": " + address + "\",",
                "\"front\": " + address + ":" + mFrontPort + "\",",
                "\"ready\": " + address + ":" + mReadyPort + "\",",
                "\"innerPort\": " + mInnerPort + ", \"metricsPort\": " + mMetricsPort + ",",
                "\"store\": " + address + ":" + mEntrance.mServer.port() + "\",",
                "\"machines\": " + address + ":" + mWorkers.port() + "\", \"advice\": \"\",",
                "\"cpuShare\": 0.75, \"cores\": 1, \"bootstrap\": true,",
                "\"maxLeaseMillis\": 6000, \"holderMillis\": 3000, \"retentionSeconds\": 120,",
                limits,
                "\"graceSeconds\": 6, \"logLevel\": \"INFO\"}");
    }

    private Process start(Path settings, int descriptors) throws IOException {
        Path root = Path.of("..").toRealPath();
        List<String> command = new ArrayList<>();
        if (descriptors > 0) {
            command.addAll(List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        }
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.split(" ")));
            }
        }
        command.replaceAll(word -> word.equals("java") ? JAVA : word);
        command.replaceAll(word -> word.equals(DEPLOYED_HEAP) ? HEAP : word);
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("ENDIVETRAY_BOOT", settings.toString());
        File log = mFolder.resolve("log").toFile();
        return builder.redirectErrorStream(true).redirectOutput(log).start();
    }

    private void awaitFirstJob() throws InterruptedException {
        for (int i = 0; i < START_TRIES; i++) {
            if (submit(256) == 200) {
                return;
            }
            Thread.sleep(TRY_MILLIS);
        }
        throw new AssertionError("the daemon accepts no job; see " + mFolder);
    }

    InetSocketAddress front() {
        return new InetSocketAddress(LoopbackServer.ADDRESS, mFrontPort);
    }

    InetSocketAddress ready() {
        return new InetSocketAddress(LoopbackServer.ADDRESS, mReadyPort);
    }

    InetSocketAddress metrics() {
        return new InetSocketAddress(LoopbackServer.ADDRESS, mMetricsPort);
    }

    InetSocketAddress inner() {
        return new InetSocketAddress(LoopbackServer.ADDRESS, mInnerPort);
    }

    /** Leaves the daemon's calls to the store without answers, or ends that. */
    void freezeStore(boolean isFrozen) {
        mEntrance.mIsSilent = isFrozen;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the resident memory of the process in MiB, 0 if it has ended. */
    long residentMib() {
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
        try (Stream<Path> open = Files.list(Path.of("/proc/" + mProcess.pid() + "/fd"))) {
            return open.count();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Submits a job as an ordinary client, which tries again as it is told; returns the status. */
    int submitWithRetries() throws InterruptedException {
        int status = submit(256);
        for (int i = 1; i < SUBMIT_TRIES && status == 503; i++) {
            Thread.sleep(RETRY_MILLIS);
            status = submit(256);
        }
        return status;
    }

    /** Submits a job whose body has about the given size; returns 0 if there is no answer. */
    int submit(int bytes) {
        byte[] body = job(bytes).getBytes(StandardCharsets.UTF_8);
        String path = "/alpha/" + String.format("%016x", mNextJob++);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
            socket.connect(front(), CLIENT_TIMEOUT_MILLIS);
            socket.getOutputStream().write(head(path, "Content-Length: " + body.length));
            socket.getOutputStream().write(body);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            byte[] bytesRead = new byte[1_024];
            while (answer.size() < "HTTP/1.1 200".length()) {
                int count = socket.getInputStream().read(bytesRead);
                if (count < 0) {
                    return 0;
                }
                answer.write(bytesRead, 0, count);
            }
            return Integer.parseInt(answer.toString(StandardCharsets.US_ASCII).split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns a job of about the given size, at least that of the smallest. */
    static String job(int bytes) {
        String job =
                "{\"spec\": \"x\", \"steps\": [{\"count\": 1, \"cpu\": 500, \"mem_mb\": 256,"
                        + " \"estimate_ms\": 100}]}";
        return job + " ".repeat(Math.max(0, bytes - job.length()));
    }

    /** Returns the head of a submission with a further header. */
    static byte[] head(String path, String header) {
        return ("POST "
                        + path
                        + " HTTP/1.1\r\nHost: yard.example\r\n"
                        + "Content-Type: application/json\r\n"
                        + "X-Endivetray-Request-Deadline: 3000\r\n"
                        + header
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws InterruptedException {
        mProcess.destroyForcibly().waitFor(CLIENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        mEntrance.mServer.close();
        mWorkers.close();
    }
}
