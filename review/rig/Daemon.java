package review.rig;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One process of endivetrayd, started with the command of the deploy file. */
public final class Daemon {
    private final Rig mRig;
    private final String mName;
    private final int mFrontPort = freePort();
    private final int mReadyPort = freePort();
    private final int mInnerPort = freePort();
    private final int mMetricsPort = freePort();
    private Process mProcess;
    private int mStarts;

    public Daemon(Rig rig, String name) throws IOException {
        mRig = rig;
        mName = name;
    }

    public String name() {
        return mName;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process; its output goes to a file in the temporary folder of the case. */
    public void start() throws IOException {
        Path settings = mRig.folder().resolve(mName + ".json");
        Files.writeString(settings, settings(mStarts == 0));
        Path root = mRig.root();
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.environment().put("ENDIVETRAY_BOOT", settings.toString());
        File log = mRig.folder().resolve(mName + "." + mStarts++ + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        mProcess = builder.start();
        mRig.own(mProcess);
        mRig.record("daemon " + mName + " started, process " + mProcess.pid());
    }

    private String settings(boolean isFirst) {
        return String.join(
                "\n",
                "{\"name\": \"" + mName + "\", \"zone\": \"a\", \"host\": \"127.0.0.1\",",
                "\"front\": \"127.0.0.1:" + mFrontPort + "\",",
                "\"ready\": \"127.0.0.1:" + mReadyPort + "\",",
                "\"innerPort\": " + mInnerPort + ", \"metricsPort\": " + mMetricsPort + ",",
                "\"store\": \"127.0.0.1:" + mRig.store().port() + "\",",
                "\"machines\": \"127.0.0.1:" + mRig.cloud().port() + "\", \"advice\": \"\",",
                "\"cpuShare\": 0.75, \"cores\": 1, \"bootstrap\": " + isFirst + ",",
                "\"maxLeaseMillis\": 6000, \"holderMillis\": 3000, \"retentionSeconds\": 120,",
                "\"graceSeconds\": 6, \"logLevel\": \"INFO\"}");
    }

    public boolean isReady() {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + mReadyPort + "/api/ready"))
                            .timeout(Duration.ofSeconds(1))
                            .build();
            return Rig.HTTP.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    == 200;
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    /** The answer of a daemon to a client; status 0 if there was none. */
    public record Answer(int status, String body) {}

    /** Sends a request of a client; it waits 3 s for the answer. */
    public Answer send(String method, String path, String body) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mFrontPort + path))
                        .timeout(Duration.ofMillis(3_000))
                        .header("Host", "yard.example")
                        .header("X-Endivetray-Request-Deadline", "3000")
                        .header("Content-Type", "application/json");
        builder.method(
                method,
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body));
        Answer answer;
        try {
            HttpResponse<String> response =
                    Rig.HTTP.send(builder.build(), HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException | InterruptedException e) {
            answer = new Answer(0, String.valueOf(e));
        }
        mRig.record(
                method + " " + path + " at " + mName + " -> " + answer.status() + " "
                        + answer.body());
        return answer;
    }

    /** Sends a request without a note in the record. */
    public Answer poll(String path) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mFrontPort + path))
                            .timeout(Duration.ofMillis(3_000))
                            .header("Host", "yard.example")
                            .build();
            HttpResponse<String> response =
                    Rig.HTTP.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException | InterruptedException e) {
            return new Answer(0, String.valueOf(e));
        }
    }

}
