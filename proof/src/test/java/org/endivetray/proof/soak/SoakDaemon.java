package org.endivetray.proof.soak;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A daemon as a process of its own, started with the command of the deploy file.
 *
 * <p>Invariants: at most one fault that signals the process holds the daemon at a time.
 *
 * <p>This class is thread-safe.
 */
final class SoakDaemon implements AutoCloseable {
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final long CLIENT_TIMEOUT_MILLIS = 3_000;
    private static final String JAVA = System.getProperty("java.home") + "/bin/java";
    private static final int GRACE_SECONDS = 6;

    private final SoakSite mSite;
    private final Path mRoot;
    private final String mName;
    private final StoreEntrance mEntrance;
    private final int mFrontPort = freePort();
    private final int mReadyPort = freePort();
    private final int mInnerPort = freePort();
    private final int mMetricsPort = freePort();
    private final AtomicBoolean mIsHeld = new AtomicBoolean();

    /** Daemons reach each other while they are on the same side of all partitions. */
    private volatile int mSide;

    private volatile Process mProcess;
    private int mStarts;

    /** The answer to a client; status 0 if there was none. */
    record Answer(int status, String body) {
        boolean isAccepted() {
            return status >= 200 && status < 300;
        }
    }

    SoakDaemon(SoakSite site, Path root, int number) throws IOException {
        mSite = site;
        mRoot = root;
        mName = "edge-" + number;
        mEntrance = site.store().entrance(mName);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName(LoopbackServer.ADDRESS))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return mName;
    }

    int innerPort() {
        return mInnerPort;
    }

    StoreEntrance entrance() {
        return mEntrance;
    }

    int number() {
        return Integer.parseInt(mName.substring(mName.lastIndexOf('-') + 1));
    }

    boolean reaches(SoakDaemon other) {
        return mSide == other.mSide;
    }

    /** Moves the daemon to a side of a partition; 0 is the side that the store is on. */
    void moveToSide(int side) {
        mSide = side;
    }

    /** Holds the daemon for a fault that signals it; returns whether no other fault holds it. */
    boolean hold() {
        return mIsHeld.compareAndSet(false, true);
    }

    void release() {
        mIsHeld.set(false);
    }

    boolean isStarted() {
        return mProcess != null;
    }

    /** Starts the process; its output goes to a file of its own for each start. */
    void start() throws IOException {
        Path settings = mSite.folder().resolve(mName + ".json");
        Files.writeString(settings, settings(mStarts == 0));
        List<String> command = new ArrayList<>();
        String cpus = System.getenv("CPUS");
        if (cpus != null) {
            command.addAll(List.of("taskset", "-c", cpus));
        }
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.split(" ")));
                command.replaceAll(word -> word.equals("java") ? JAVA : word);
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(mRoot.toFile());
        builder.environment().put("ENDIVETRAY_BOOT", settings.toAbsolutePath().toString());
        File log = mSite.folder().resolve(mName + "." + mStarts++ + ".log").toFile();
        mProcess = builder.redirectErrorStream(true).redirectOutput(log).start();
        mSite.record().add(mName + " started, process " + mProcess.pid());
    }

    private String settings(boolean isFirst) {
        return String.join(
                "\n",
                "{\"name\": \""
                        + mName
                        + "\", \"zone\": \"a\", \"host\": \""
                        + LoopbackServer.ADDRESS
                        + "\",",
                "\"front\": \"" + LoopbackServer.ADDRESS + ":" + mFrontPort + "\",",
                "\"ready\": \"" + LoopbackServer.ADDRESS + ":" + mReadyPort + "\",",
                "\"innerPort\": " + mInnerPort + ", \"metricsPort\": " + mMetricsPort + ",",
                "\"store\": \"" + LoopbackServer.ADDRESS + ":" + mEntrance.mServer.port() + "\",",
                "\"machines\": \""
                        + LoopbackServer.ADDRESS
                        + ":"
                        + mSite.workers().port()
                        + "\", \"advice\": \"\",",
                "\"cpuShare\": 0.75, \"cores\": 1, \"bootstrap\": " + isFirst + ",",
                "\"maxLeaseMillis\": 6000, \"holderMillis\": 3000, \"retentionSeconds\": 120,",
                "\"graceSeconds\": " + GRACE_SECONDS + ", \"logLevel\": \"INFO\"}");
    }

    /** Sends the process a signal. */
    void signal(String signal) throws IOException, InterruptedException {
        mSite.record().add("SIG" + signal + " " + mName);
        new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start().waitFor();
    }

    /** Waits until the process has ended, and kills it when its grace period is over. */
    void awaitEnd() throws InterruptedException {
        if (!mProcess.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            mProcess.destroyForcibly().waitFor();
        }
        mSite.record().add(mName + " ended with " + mProcess.exitValue());
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns the name of the daemon and the number of its present start. */
    String process() {
        return mName + "." + mStarts;
    }

    /** Sends a request of a client with a key, which is empty if there are no accounts. */
    Answer send(String method, String path, String key, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + LoopbackServer.ADDRESS
                                                + ":"
                                                + mFrontPort
                                                + path))
                        .timeout(Duration.ofMillis(CLIENT_TIMEOUT_MILLIS))
                        .header("Host", "yard.example")
                        .header("X-Endivetray-Request-Deadline", "" + CLIENT_TIMEOUT_MILLIS)
                        .header("Content-Type", "application/json")
                        .header("Authorization", "Bearer " + key)
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    HTTP.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException | InterruptedException e) {
            return new Answer(0, String.valueOf(e));
        }
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }
}
