package org.endivetray.proof;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.endivetray.daemon.Daemon;
import org.endivetray.daemon.Main;

/** A daemon in its own process that can be frozen, resumed, stopped and killed. */
final class DaemonProcess implements AutoCloseable {
    private final Process mProcess;
    private final Daemon.Ports mPorts;

    private DaemonProcess(Process process, Daemon.Ports ports) {
        mProcess = process;
        mPorts = ports;
    }

    static DaemonProcess start(String settings) {
        try {
            Path folder = Files.createTempDirectory("endivetray");
            Path file = Files.writeString(folder.resolve("settings.json"), settings);
            Path ports = folder.resolve("ports");
            Process process =
                    new ProcessBuilder(
                                    System.getProperty("java.home") + "/bin/java",
                                    "-Xmx160m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    Main.class.getName(),
                                    "--settings",
                                    file.toString(),
                                    "--ports-file",
                                    ports.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(new File(folder.toFile(), "log"))
                            .start();
            TestSite.waitFor(() -> Files.exists(ports));
            String[] words = Files.readString(ports).trim().split(" ");
            return new DaemonProcess(
                    process,
                    new Daemon.Ports(
                            Integer.parseInt(words[0]),
                            Integer.parseInt(words[1]),
                            Integer.parseInt(words[2])));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    Daemon.Ports ports() {
        return mPorts;
    }

    void freeze() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    /** Requests a graceful stop and returns the exit code. */
    int stop() {
        mProcess.destroy();
        try {
            if (!mProcess.waitFor(60, TimeUnit.SECONDS)) {
                throw new AssertionError("daemon did not stop within 60 s");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        return mProcess.exitValue();
    }

    private void signal(String name) {
        try {
            int exit =
                    new ProcessBuilder("kill", "-" + name, "" + mProcess.pid()).start().waitFor();
            if (exit != 0) {
                throw new AssertionError("signal " + name + " could not be sent");
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }
}
