package org.endivetray.proof.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One daemon as a process of its own beside a store, without minions, for clients that send more
 * than the daemon can hold.
 *
 * <p>Invariants: the process runs the command of the deploy file with a smaller heap, and its
 * descriptors may be limited.
 *
 * <p>This class is not thread-safe.
 */
final class CrowdSite implements CrowdedSite {
    private static final long DEPLOYED_HEAP_MIB = 200;
    private static final long HEAP_MIB = 48;
    private static final int START_TRIES = 300;
    private static final int TRY_MILLIS = 100;

    private final Path mFolder = Files.createTempDirectory("crowd");
    private final StoreEntrance mEntrance;
    private final LoopbackServer mWorkers;
    private final int mFrontPort;
    private final int mReadyPort;
    private final int mInnerPort;
    private final int mMetricsPort;
    private final CrowdedProcess mProcess;
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
        List<Integer> ports = freePorts(4);
        mFrontPort = ports.get(0);
        mReadyPort = ports.get(1);
        mInnerPort = ports.get(2);
        mMetricsPort = ports.get(3);
        Path settings = Files.writeString(mFolder.resolve("settings.json"), settings(limits));
        mProcess = start(settings, descriptors);
        awaitFirstJob();
    }

    /** Returns different ports that no server of this process uses. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket =
                    new ServerSocket(0, 1, InetAddress.getByName(LoopbackServer.ADDRESS));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
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

    private CrowdedProcess start(Path settings, int descriptors) throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("../deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.split(" ")));
            }
        }
        String deployed = "-Xmx" + DEPLOYED_HEAP_MIB + "m";
        command.replaceAll(word -> word.equals("java") ? CrowdedProcess.JAVA : word);
        command.replaceAll(word -> word.equals(deployed) ? "-Xmx" + HEAP_MIB + "m" : word);
        return CrowdedProcess.start(
                command,
                Map.of("ENDIVETRAY_BOOT", settings.toString()),
                mFolder.resolve("log"),
                descriptors);
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

    @Override
    public CrowdedProcess process() {
        return mProcess;
    }

    @Override
    public InetSocketAddress address(CrowdPort port) {
        int number =
                switch (port) {
                    case FRONT -> mFrontPort;
                    case READY -> mReadyPort;
                    case METRICS -> mMetricsPort;
                    default -> mInnerPort;
                };
        return new InetSocketAddress(LoopbackServer.ADDRESS, number);
    }

    @Override
    public boolean servesOrdinaryClients() throws InterruptedException {
        byte[] job = submission(256);
        return OrdinaryClient.sendWithRetries(address(CrowdPort.FRONT), job) == 200
                && status(CrowdPort.READY, "/api/ready") == 200
                && status(CrowdPort.METRICS, "/metrics") == 200
                && OrdinaryClient.servesPeer(address(CrowdPort.INNER));
    }

    private int status(CrowdPort port, String path) throws InterruptedException {
        return OrdinaryClient.sendWithRetries(address(port), OrdinaryClient.get(path, ""));
    }

    @Override
    public boolean routesRequests() {
        return false;
    }

    @Override
    public long maxUsedMib() {
        return CrowdedProcess.maxUsedMib(DEPLOYED_HEAP_MIB, HEAP_MIB);
    }

    /** Leaves the daemon's calls to the store without answers, or ends that. */
    void freezeStore(boolean isFrozen) {
        mEntrance.mIsSilent = isFrozen;
    }

    /** Submits a job again after each refusal; returns the status. */
    int submitWithRetries() throws InterruptedException {
        return OrdinaryClient.sendAfterRefusals(address(CrowdPort.FRONT), submission(256));
    }

    /** Submits a job whose body has about the given size; returns 0 if there is no answer. */
    int submit(int bytes) {
        return OrdinaryClient.send(address(CrowdPort.FRONT), submission(bytes));
    }

    private byte[] submission(int bytes) {
        byte[] body = job(bytes).getBytes(StandardCharsets.UTF_8);
        String path = "/alpha/" + String.format("%016x", mNextJob++);
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes(head(path, "Content-Length: " + body.length));
        request.writeBytes(body);
        return request.toByteArray();
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
        mProcess.close();
        mEntrance.mServer.close();
        mWorkers.close();
    }
}
