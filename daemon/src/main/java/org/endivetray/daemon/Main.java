package org.endivetray.daemon;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.daemon.archive.ArchiveTraining;
import org.endivetray.daemon.job.JobDaemon;
import org.endivetray.daemon.job.JobSettings;
import org.endivetray.daemon.observe.LogSetup;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.platform.site.SiteEnvironment;
import sun.misc.Signal;

/**
 * Starts one daemon from its settings file and stops it on SIGTERM.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class Main {
    /** Version of this build. */
    public static final String VERSION = "0.1.0";

    /** Command that runs a daemon which schedules jobs. */
    private static final String SCHEDULE_COMMAND = "schedule";

    /** Command with which the build creates the class data sharing archive. */
    private static final String TRAIN_COMMAND = "train";

    private static final long START_TIMEOUT_SECONDS = 30;
    private static final long STOP_TIMEOUT_SECONDS = 90;

    private Main() {}

    /**
     * Runs the daemon.
     *
     * @param args the command line, described by {@code --help}; not null
     */
    public static void main(String[] args) {
        System.setProperty(
                "java.util.logging.manager", LogSetup.NonResettingLogManager.class.getName());
        // Makes Vert.x log through java.util.logging, as System.Logger does.
        System.setProperty(
                "vertx.logger-delegate-factory-class-name",
                "io.vertx.core.logging.JULLogDelegateFactory");
        int exit = run(args);
        if (exit != 0) {
            System.exit(exit);
        }
    }

    private static int run(String[] args) {
        Options options = options();
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            if (commandLine.hasOption("help")) {
                printHelp(options);
                return 0;
            }
            if (commandLine.hasOption("version")) {
                System.out.println("endivetrayd " + VERSION);
                return 0;
            }
            if (commandLine.getArgList().contains(TRAIN_COMMAND)) {
                ArchiveTraining.run();
                System.exit(0);
            }
            Path file = settingsFile(commandLine);
            if (commandLine.getArgList().contains(SCHEDULE_COMMAND)) {
                return runScheduler(file, commandLine.hasOption("check-settings"));
            }
            Settings settings = Settings.ofFile(file);
            if (commandLine.hasOption("check-settings")) {
                System.out.println("settings are valid");
                return 0;
            }
            start(settings, commandLine.getOptionValue("ports-file"));
            return 0;
        } catch (ParseException e) {
            return fail(ResultCode.USAGE, e.getMessage());
        } catch (EndivetrayException e) {
            return fail(e.code(), e.getMessage());
        }
    }

    /** Returns the settings file that the option names, or else the environment of the platform. */
    private static Path settingsFile(CommandLine commandLine) throws ParseException {
        String file =
                commandLine.getOptionValue("settings", SiteEnvironment.settingsFile().orElse(null));
        if (file == null) {
            throw new ParseException("missing option --settings");
        }
        return Path.of(file);
    }

    private static int runScheduler(Path file, boolean checkOnly) {
        JobSettings settings = JobSettings.ofFile(file);
        if (checkOnly) {
            System.out.println("settings are valid");
            return 0;
        }
        LogSetup.start(settings.logLevel());
        JobDaemon daemon = new JobDaemon(settings);
        // Without a handler, SIGHUP terminates the JVM.
        Signal.handle(new Signal("HUP"), signal -> reload(file, settings));
        daemon.start();
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
        return 0;
    }

    /**
     * Reloads the settings; the log level takes effect at once, other changes at the next start.
     */
    private static void reload(Path file, JobSettings current) {
        Logger logger = System.getLogger(Main.class.getName());
        try {
            JobSettings settings = JobSettings.ofFile(file);
            LogSetup.setLevel(settings.logLevel());
            logger.log(Level.INFO, "settings: reloaded changed={0}", !settings.equals(current));
        } catch (EndivetrayException e) {
            logger.log(
                    Level.WARNING,
                    "settings: reload failed, previous settings stay in force code={0} reason={1}",
                    Integer.toString(e.code().number()),
                    e.getMessage());
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption("s", "settings", true, "settings file, JSON with comments");
        options.addOption(null, "check-settings", false, "check the settings and exit");
        options.addOption(null, "ports-file", true, "file to write the ports to");
        options.addOption("v", "version", false, "print the version and exit");
        options.addOption("h", "help", false, "print this help and exit");
        return options;
    }

    private static void printHelp(Options options) {
        try {
            HelpFormatter.builder()
                    .setShowSince(false)
                    .get()
                    .printHelp("endivetrayd [schedule] --settings FILE", "", options, "", false);
        } catch (IOException e) {
            throw new EndivetrayException(ResultCode.INTERNAL, "cannot print the help text", e);
        }
    }

    private static int fail(ResultCode code, String message) {
        System.err.println("endivetrayd: error " + code.number() + " " + code.name());
        message.lines().forEach(text -> System.err.println("  " + text));
        System.err.println("  " + code.action());
        return code.exitCode();
    }

    private static void start(Settings settings, String portsFile) {
        LogSetup.start(settings.text(SettingKey.LOG_LEVEL));
        Logger logger = System.getLogger(Main.class.getName());
        Daemon daemon = new Daemon(settings);
        Daemon.Ports ports = awaitStart(daemon);
        logger.log(Level.INFO, () -> "daemon: listening " + ports);
        if (portsFile != null) {
            writePorts(Path.of(portsFile), ports);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
    }

    private static void writePorts(Path file, Daemon.Ports ports) {
        String text = ports.callers() + " " + ports.operators() + " " + ports.inner() + "\n";
        try {
            Path temporary = file.resolveSibling(file.getFileName() + ".part");
            Files.writeString(temporary, text);
            Files.move(temporary, file);
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.SETTINGS_UNREADABLE, "cannot write '" + file + "'", e);
        }
    }

    private static Daemon.Ports awaitStart(Daemon daemon) {
        try {
            return daemon.start()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new EndivetrayException(
                    ResultCode.ADDRESS_IN_USE, String.valueOf(e.getCause()), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EndivetrayException(
                    ResultCode.INTERNAL, "interrupted while the daemon was starting", e);
        }
    }

    private static void stop(Daemon daemon) {
        try {
            daemon.stop()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            daemon.shutdownNow();
            Runtime.getRuntime().halt(0);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("endivetrayd: graceful stop failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
