package org.endivetray.daemon.observe;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Configures logging: one line for each record, on standard output.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class LogSetup {
    private static final Logger ROOT = Logger.getLogger("");

    private LogSetup() {}

    /**
     * Starts logging at the given level; loggers of libraries log warnings and errors only.
     *
     * @param level DEBUG, INFO, WARNING or ERROR, not null
     */
    public static void start(String level) {
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        PrintStream out =
                new PrintStream(
                        new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);
        Handler handler = new BoundedLogHandler(out, new LineFormatter());
        handler.setLevel(Level.ALL);
        ROOT.addHandler(handler);
        ROOT.setLevel(Level.WARNING);
        setLevel(level);
    }

    /**
     * Sets the level of this project's loggers.
     *
     * @param level DEBUG, INFO, WARNING or ERROR, not null
     */
    public static void setLevel(String level) {
        Logger.getLogger("org.endivetray").setLevel(toJulLevel(level));
    }

    /** Writes the lines that are still queued. */
    public static void flush() {
        for (Handler handler : ROOT.getHandlers()) {
            handler.flush();
        }
    }

    private static Level toJulLevel(String level) {
        return switch (level) {
            case "DEBUG" -> Level.FINE;
            case "WARNING" -> Level.WARNING;
            case "ERROR" -> Level.SEVERE;
            default -> Level.INFO;
        };
    }

    /**
     * Keeps the log handlers while the JVM shuts down, so that the shutdown itself is logged.
     *
     * <p>This class is thread-safe.
     */
    public static final class NonResettingLogManager extends LogManager {
        @Override
        public void reset() {}
    }

    /** Formats time, level and message as one line, followed by the stack trace if there is one. */
    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord logRecord) {
            StringBuilder line = new StringBuilder();
            line.append(Instant.ofEpochMilli(logRecord.getMillis()));
            line.append(' ').append(logRecord.getLevel().getName()).append(' ');
            line.append(formatMessage(logRecord)).append('\n');
            if (logRecord.getThrown() != null) {
                StringWriter trace = new StringWriter();
                logRecord.getThrown().printStackTrace(new PrintWriter(trace));
                line.append(trace);
            }
            return line.toString();
        }
    }
}
