package org.endivetray.daemon.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivetray.EndivetrayException;
import org.endivetray.Json;
import org.endivetray.ResultCode;
import org.endivetray.policy.intake.IntakeLimits;

/**
 * The validated settings of a daemon that schedules jobs.
 *
 * <p>Settings are JSON with comments; unknown keys are ignored, since the platform may add fields.
 * All invalid values are found in one pass and reported together.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name name of the daemon, not null
 * @param zone its availability zone, not null
 * @param host IP address on which it listens, not null
 * @param frontPort port for callers
 * @param readyPort port for readiness checks
 * @param innerPort port of the protocol between daemons
 * @param metricsPort port of the metrics
 * @param store address of the shared store, not null
 * @param machines address of the machine service, not null
 * @param advice address of the placement advisor, null if there is none
 * @param cpuMillis CPU time available to the daemon, in thousandths of a core
 * @param isBootstrap whether the whole system starts for the first time
 * @param maxLeaseMillis longest lease of a run on a minion, in milliseconds
 * @param stopMillis longest time that a minion takes to stop a run, in milliseconds
 * @param holderMillis least time between orders of two successive fleet owners for one worker, in
 *     milliseconds
 * @param retentionMillis time for which the state of an ended job is kept, in milliseconds
 * @param graceMillis time from the request to stop until the process is killed, in milliseconds
 * @param silenceMillis time within which changes in the store are in force after open connections
 *     have gone silent, in milliseconds
 * @param farFactor multiple of its duration that a task takes away from the rack of its data or of
 *     the rest of its step, 0 if it is to be learnt
 * @param intake what may be held of requests and messages that are not answered, not null
 * @param logLevel lowest level that is logged, not null
 */
public record JobSettings(
        String name,
        String zone,
        String host,
        int frontPort,
        int readyPort,
        int innerPort,
        int metricsPort,
        Address store,
        Address machines,
        Address advice,
        int cpuMillis,
        boolean isBootstrap,
        long maxLeaseMillis,
        long stopMillis,
        long holderMillis,
        long retentionMillis,
        long graceMillis,
        long silenceMillis,
        double farFactor,
        IntakeLimits intake,
        String logLevel) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final long DEFAULT_STOP_MILLIS = 1_000;
    private static final long DEFAULT_SILENCE_MILLIS = 3_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_CORE = 1_000;

    /**
     * An address.
     *
     * @param host the IP address, not null
     * @param port the port
     */
    public record Address(String host, int port) {}

    /**
     * Returns the settings that a file contains.
     *
     * @param file the file, not null
     * @throws EndivetrayException with {@link ResultCode#SETTINGS_UNREADABLE} or {@link
     *     ResultCode#INVALID_SETTINGS}
     */
    public static JobSettings ofFile(Path file) {
        try {
            return ofText(Files.readString(file));
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.SETTINGS_UNREADABLE, "cannot read settings file '" + file + "'", e);
        }
    }

    /**
     * Returns the settings that a text contains.
     *
     * @param text JSON with comments, not null
     * @throws EndivetrayException with {@link ResultCode#SETTINGS_UNREADABLE} or {@link
     *     ResultCode#INVALID_SETTINGS}
     */
    public static JobSettings ofText(String text) {
        JsonNode root;
        try {
            root = Json.mapper().readTree(text);
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.SETTINGS_UNREADABLE,
                    "settings are not valid JSON: " + e.getMessage(),
                    e);
        }
        Reader reader = new Reader(root);
        JobSettings settings =
                new JobSettings(
                        reader.text("name"),
                        reader.text("zone"),
                        reader.text("host"),
                        reader.address("front").port(),
                        reader.address("ready").port(),
                        reader.port("innerPort"),
                        reader.port("metricsPort"),
                        reader.address("store"),
                        reader.address("machines"),
                        root.path("advice").asText().isEmpty() ? null : reader.address("advice"),
                        Math.toIntExact(
                                reader.positive(
                                        "cpuShare", reader.positive("cores", MILLIS_PER_CORE))),
                        root.path("bootstrap").asBoolean(),
                        reader.positive("maxLeaseMillis", 1),
                        reader.positiveOr("stopMillis", DEFAULT_STOP_MILLIS),
                        reader.positive("holderMillis", 1),
                        reader.positive("retentionSeconds", MILLIS_PER_SECOND),
                        reader.positive("graceSeconds", MILLIS_PER_SECOND),
                        reader.positiveOr("silenceMillis", DEFAULT_SILENCE_MILLIS),
                        reader.factorOrZero("farFactor"),
                        reader.intake(),
                        root.path("logLevel").asText("INFO"));
        reader.check();
        return settings;
    }

    /** Reads values and collects the errors found in them. */
    private static final class Reader {
        private final JsonNode mRoot;
        private final List<String> mErrors = new ArrayList<>();

        private Reader(JsonNode root) {
            mRoot = root;
        }

        private String text(String key) {
            JsonNode node = mRoot.path(key);
            if (!node.isTextual() || node.textValue().isEmpty()) {
                mErrors.add(key + ": must be a non-empty string: " + node);
            }
            return node.asText();
        }

        private int port(String key) {
            JsonNode node = mRoot.path(key);
            if (!node.isInt() || node.intValue() < 0 || node.intValue() > MAX_PORT) {
                mErrors.add(key + ": must be a port number from 0 to " + MAX_PORT + ": " + node);
            }
            return node.asInt();
        }

        private long positive(String key, long unit) {
            JsonNode node = mRoot.path(key);
            if (!node.isNumber() || node.doubleValue() <= 0) {
                mErrors.add(key + ": must be a number greater than 0: " + node);
            }
            return Math.round(node.asDouble() * unit);
        }

        private long positiveOr(String key, long absent) {
            return mRoot.has(key) ? positive(key, 1) : absent;
        }

        /** Returns a factor of 1 or more, 0 if the key is absent. */
        private double factorOrZero(String key) {
            JsonNode node = mRoot.path(key);
            if (!node.isMissingNode() && (!node.isNumber() || node.doubleValue() < 1)) {
                mErrors.add(key + ": must be a number of 1 or more: " + node);
            }
            return node.asDouble();
        }

        private IntakeLimits intake() {
            long heapBytes = Runtime.getRuntime().maxMemory();
            IntakeLimits absent = IntakeLimits.ofHeap(heapBytes);
            return new IntakeLimits(
                    inRange(
                            "intakeBytes",
                            absent.bodyBytes(),
                            IntakeLimits.MIN_BODY_BYTES,
                            heapBytes / IntakeLimits.MAX_HEAP_SHARE_DIVISOR),
                    (int) inRange("maxConnections", absent.connections(), 1, MAX_CONNECTIONS),
                    (int)
                            inRange(
                                    "maxInnerConnections",
                                    absent.innerConnections(),
                                    1,
                                    MAX_CONNECTIONS));
        }

        private long inRange(String key, long absent, long min, long max) {
            JsonNode node = mRoot.path(key);
            if (node.isMissingNode()) {
                return absent;
            }
            if (!node.isIntegralNumber() || node.asLong() < min || node.asLong() > max) {
                mErrors.add(key + ": must be from " + min + " to " + max + ": " + node);
            }
            return node.asLong();
        }

        private Address address(String key) {
            String text = mRoot.path(key).asText();
            int colon = text.lastIndexOf(':');
            if (colon > 0 && text.substring(colon + 1).matches("\\d{1,5}")) {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (port <= MAX_PORT) {
                    return new Address(text.substring(0, colon), port);
                }
            }
            mErrors.add(key + ": must be an address of the form HOST:PORT: " + mRoot.path(key));
            return new Address("", 0);
        }

        private void check() {
            if (!mErrors.isEmpty()) {
                throw new EndivetrayException(
                        ResultCode.INVALID_SETTINGS, String.join("\n", mErrors));
            }
        }
    }
}
