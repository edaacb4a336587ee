import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon as a process of its own, started with the command of the deploy file. */
final class Daemon {
    static final int GRACE_SECONDS = 6;

    final String mName;
    final int mFront = Http.freePort();
    private final int mReady = Http.freePort();
    private final int mInner = Http.freePort();
    private final int mMetrics = Http.freePort();
    private final Rig mRig;
    private Process mProcess;
    private int mStarts;

    Daemon(Rig rig, String name) throws IOException {
        mRig = rig;
        mName = name;
    }

    synchronized void start() throws IOException {
        Path settings = mRig.mFolder.resolve(mName + ".json");
        Files.writeString(settings, settings());
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(mRig.mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.split(" ")));
            }
        }
        command.set(0, System.getProperty("java.home") + "/bin/java");
        ProcessBuilder builder = new ProcessBuilder(command).directory(mRig.mRoot.toFile());
        builder.environment().put("ENDIVETRAY_BOOT", settings.toString());
        File log = mRig.mFolder.resolve(mName + "." + mStarts++ + ".log").toFile();
        mProcess = builder.redirectErrorStream(true).redirectOutput(log).start();
        Rig.note("daemon: " + mName + " started");
    }

    /** The keys of deploy/settings.json.tmpl, with the bounds of mirc-kochi. */
    private String settings() {
        String at = "\"" + Http.HOST + ":";
        return "{\"name\": \"" + mName + "\", \"zone\": \"a\", \"host\": \"" + Http.HOST + "\",\n"
                + "\"front\": " + at + mFront + "\", \"ready\": " + at + mReady + "\",\n"
                + "\"innerPort\": " + mInner + ", \"metricsPort\": " + mMetrics + ",\n"
                + "\"store\": " + at + mRig.mStore.port() + "\",\n"
                + "\"machines\": " + at + mRig.mCloudPort + "\", \"advice\": \"\",\n"
                + "\"cpuShare\": 0.75, \"cores\": 1, \"bootstrap\": " + (mStarts == 0) + ",\n"
                + "\"maxLeaseMillis\": 6000, \"stopMillis\": 200, \"holderMillis\": 3000,\n"
                + "\"retentionSeconds\": 120, \"graceSeconds\": " + GRACE_SECONDS + ",\n"
                + "\"silenceMillis\": 3000, \"logLevel\": \"INFO\"}\n";
    }

    synchronized void signal(String signal) throws IOException, InterruptedException {
        Rig.note("daemon: SIG" + signal + " to " + mName);
        new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start().waitFor();
    }

    /** Waits for the end of the process, which is killed when its grace period is over. */
    void awaitEnd() throws InterruptedException {
        if (!mProcess.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            mProcess.destroyForcibly().waitFor();
        }
        Rig.note("daemon: " + mName + " ended with status " + mProcess.exitValue());
    }

    boolean isReady() {
        return Http.call(mReady, "GET", "/api/ready", "x", null, 500).status() == 200;
    }

    void destroy() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }
}
