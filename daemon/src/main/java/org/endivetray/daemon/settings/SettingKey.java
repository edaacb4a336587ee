package org.endivetray.daemon.settings;

import java.util.Arrays;
import java.util.Optional;

/**
 * The keys of the settings file, each with its type, range, unit and default.
 *
 * <p>Invariants: paths are unique; a key without a default is required.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum SettingKey {
    NAME("name", null, "unique name of this daemon"),
    ZONE("zone", null, "availability zone of this daemon"),
    CALLERS_HOST("callers.host", "127.0.0.1", "IP address for callers"),
    CALLERS_PORT("callers.port", 0, 65_535, 0, "port", "port for callers, 0 for any"),
    OPERATORS_HOST("operators.host", "127.0.0.1", "IP address for operators"),
    OPERATORS_PORT("operators.port", 0, 65_535, 0, "port", "port for operators, 0 for any"),
    INNER_HOST("inner.host", "127.0.0.1", "IP address for other daemons"),
    INNER_PORT("inner.port", 0, 65_535, 0, "port", "port for other daemons, 0 for any"),
    INNER_ADVERTISED(
            "inner.advertisedPort",
            0,
            65_535,
            0,
            "port",
            "port that other daemons connect to, 0 if it is inner.port"),
    INNER_PEERS("inner.peers", "", "host:port of other daemons, used while the store is down"),
    STORE_HOST("platform.store.host", null, "IP address of the platform's store"),
    STORE_PORT("platform.store.port", 1, 65_535, null, "port", "port of the platform's store"),
    HOSTS_HOST("platform.hosts.host", null, "IP address of the platform's host list"),
    HOSTS_PORT("platform.hosts.port", 1, 65_535, null, "port", "port of the host list"),
    WORKERS_HOST("platform.workers.host", null, "IP address of the worker interface"),
    WORKERS_PORT("platform.workers.port", 1, 65_535, null, "port", "port of the worker interface"),
    PLATFORM_TIMEOUT(
            "platform.timeoutMillis", 10, 60_000, 1_000, "ms", "timeout of a platform call"),
    HOSTS_REFRESH(
            "platform.hostsRefreshMillis",
            50,
            60_000,
            500,
            "ms",
            "interval between reads of the host list"),
    SLOTS(
            "limits.slotsPerMinion",
            1,
            1_024,
            8,
            "requests",
            "requests that a minion runs concurrently"),
    CONNECTIONS(
            "limits.connectionsPerMinion",
            1,
            4_096,
            64,
            "connections",
            "connections that a minion accepts from all daemons"),
    ENTRY_HOSTS("limits.entryHosts", 1, 64, 8, "daemons", "maximum number of daemons at one time"),
    BODY_BYTES(
            "limits.bodyBytes",
            1,
            67_108_864,
            1_048_576,
            "bytes",
            "maximum size of a request body"),
    INTAKE_BYTES(
            "limits.intakeBytes",
            0,
            1_073_741_824,
            0,
            "bytes",
            "room for the bodies of unanswered requests at each port, at least twice the largest"
                    + " body; 0 for an eighth of the heap, at most 24 MiB"),
    CALLER_CONNECTIONS(
            "limits.callerConnections",
            1,
            100_000,
            1_000,
            "connections",
            "maximum number of open connections of callers"),
    OPERATOR_CONNECTIONS(
            "limits.operatorConnections",
            1,
            100_000,
            100,
            "connections",
            "maximum number of open connections of operators"),
    INNER_CONNECTIONS(
            "limits.innerConnections",
            1,
            100_000,
            300,
            "connections",
            "maximum number of open connections of other daemons"),
    ANSWER_BYTES(
            "limits.answerBytes",
            1_024,
            1_073_741_824,
            67_108_864,
            "bytes",
            "maximum size of a response"),
    HEADER_MILLIS("limits.headerMillis", 100, 60_000, 5_000, "ms", "timeout to receive a request"),
    WAITING_SERVICE(
            "limits.waitingPerService",
            1,
            100_000,
            512,
            "requests",
            "maximum waiting requests of a service"),
    WAITING_MEMBER(
            "limits.waitingPerMember",
            1,
            100_000,
            256,
            "requests",
            "maximum waiting requests of a member in a service"),
    MAX_DEADLINE(
            "limits.maxDeadlineMillis", 100, 600_000, 30_000, "ms", "longest accepted deadline"),
    POLICY("routing.policy", "granted", "granted, static or p2c"),
    SEED("routing.seed", 0, Integer.MAX_VALUE, 1, "number", "seed of the random number generator"),
    CLAIM_HOURS("routing.claimHours", 1, 720, 24, "h", "time for which a claim is kept"),
    LEASE("membership.leaseMillis", 500, 60_000, 3_000, "ms", "time to live of the daemon's lease"),
    HEARTBEAT("membership.heartbeatMillis", 50, 10_000, 500, "ms", "interval between heartbeats"),
    STOP_LAG(
            "membership.stopLagMillis",
            0,
            60_000,
            1_000,
            "ms",
            "time for the load balancer to notice a stop"),
    FLEET_TICK("fleet.tickMillis", 20, 60_000, 200, "ms", "interval between passes over the plans"),
    SHARDS("fleet.hostShards", 1, 4_096, 64, "records", "shards of the stored host records"),
    LOG_LEVEL("log.level", "INFO", "DEBUG, INFO, WARNING or ERROR"),
    LOG_DECISIONS("log.decisions", 0, 1, 1, "flag", "1 logs each routing decision, 0 does not");

    private final String mPath;
    private final boolean mIsNumber;
    private final long mMin;
    private final long mMax;
    private final Object mDefault;
    private final String mUnit;
    private final String mMeaning;

    SettingKey(String path, long min, long max, Integer def, String unit, String meaning) {
        mPath = path;
        mIsNumber = true;
        mMin = min;
        mMax = max;
        mDefault = def == null ? null : (Object) def.longValue();
        mUnit = unit;
        mMeaning = meaning;
    }

    SettingKey(String path, String def, String meaning) {
        mPath = path;
        mIsNumber = false;
        mMin = 0;
        mMax = 0;
        mDefault = def;
        mUnit = "text";
        mMeaning = meaning;
    }

    /** Returns the key with the path, or empty if there is none. */
    public static Optional<SettingKey> ofPath(String path) {
        return Arrays.stream(values()).filter(key -> key.mPath.equals(path)).findFirst();
    }

    /** Returns the path of the key in the settings file, its parts separated by dots. */
    public String path() {
        return mPath;
    }

    /** Returns whether the value is a whole number; otherwise it is a string. */
    public boolean isNumber() {
        return mIsNumber;
    }

    /** Returns whether the number is within the range of the key. */
    public boolean accepts(long value) {
        return value >= mMin && value <= mMax;
    }

    /** Returns a description of the range. */
    public String range() {
        return mIsNumber ? mMin + " to " + mMax : "any text";
    }

    /** Returns the default value, or null if the key is required. */
    public Object defaultValue() {
        return mDefault;
    }

    /** Returns the unit of the value. */
    public String unit() {
        return mUnit;
    }

    /** Returns a short description of the setting. */
    public String meaning() {
        return mMeaning;
    }
}
