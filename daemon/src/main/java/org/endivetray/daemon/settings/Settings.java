package org.endivetray.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.EndivetrayException;
import org.endivetray.Json;
import org.endivetray.ResultCode;
import org.endivetray.policy.intake.IntakeLimits;

/**
 * The validated settings of a daemon.
 *
 * <p>Settings are read from JSON with comments. All errors are reported together, each with the
 * path of its key.
 *
 * <p>Invariants: every key has a value of its type and within its range.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class Settings {
    private static final Set<String> ROUTING_POLICIES = Set.of("granted", "static", "p2c");
    private static final Set<String> LOG_LEVELS = Set.of("DEBUG", "INFO", "WARNING", "ERROR");

    private final Map<SettingKey, Object> mValues;

    private Settings(Map<SettingKey, Object> values) {
        mValues = values;
    }

    /**
     * Returns the settings in a file of JSON with comments.
     *
     * @param file the file, not null
     * @throws EndivetrayException with {@link ResultCode#SETTINGS_UNREADABLE} or {@link
     *     ResultCode#INVALID_SETTINGS}
     */
    public static Settings ofFile(Path file) {
        try {
            return ofText(Files.readString(file));
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.SETTINGS_UNREADABLE, "cannot read '" + file + "'", e);
        }
    }

    /**
     * Returns the settings in a string.
     *
     * @param text JSON with comments, not null
     * @throws EndivetrayException with {@link ResultCode#SETTINGS_UNREADABLE} or {@link
     *     ResultCode#INVALID_SETTINGS}
     */
    public static Settings ofText(String text) {
        JsonNode root;
        try {
            root = Json.mapper().readTree(text);
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.SETTINGS_UNREADABLE,
                    "the settings are not valid JSON: " + e.getMessage(),
                    e);
        }
        if (!root.isObject()) {
            throw new EndivetrayException(
                    ResultCode.SETTINGS_UNREADABLE, "the settings are not a JSON object");
        }
        List<String> errors = new ArrayList<>();
        Map<SettingKey, Object> values = new EnumMap<>(SettingKey.class);
        collect("", root, values, errors);
        addDefaults(values, errors);
        checkChoice(SettingKey.POLICY, ROUTING_POLICIES, values, errors);
        checkChoice(SettingKey.LOG_LEVEL, LOG_LEVELS, values, errors);
        if (!errors.isEmpty()) {
            throw new EndivetrayException(ResultCode.INVALID_SETTINGS, String.join("\n", errors));
        }
        return new Settings(values);
    }

    /** Returns the value of a key whose type is text. */
    public String text(SettingKey key) {
        return (String) mValues.get(key);
    }

    /** Returns the value of a key whose type is number. */
    public int number(SettingKey key) {
        return ((Number) mValues.get(key)).intValue();
    }

    /**
     * Returns the room of a port for the bodies of unanswered requests, in bytes.
     *
     * @param maxBodyBytes largest body that the port accepts, in bytes
     */
    public long intakeBytes(int maxBodyBytes) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        long room = number(SettingKey.INTAKE_BYTES);
        return room == 0
                ? IntakeLimits.bodyBytes(heapBytes, maxBodyBytes)
                : Math.max(room, 2L * maxBodyBytes);
    }

    /** Returns a copy in which a key has the given value, which is not validated. */
    public Settings with(SettingKey key, Object value) {
        Map<SettingKey, Object> values = new EnumMap<>(mValues);
        values.put(key, value);
        return new Settings(values);
    }

    private static void collect(
            String prefix, JsonNode node, Map<SettingKey, Object> values, List<String> errors) {
        node.properties()
                .forEach(
                        child -> {
                            String path = prefix + child.getKey();
                            collectEntry(path, child.getValue(), values, errors);
                        });
    }

    private static void collectEntry(
            String path, JsonNode node, Map<SettingKey, Object> values, List<String> errors) {
        SettingKey key = SettingKey.ofPath(path).orElse(null);
        if (key == null && node.isObject() && isGroup(path)) {
            collect(path + ".", node, values, errors);
        } else if (key == null) {
            errors.add(path + ": unknown key");
        } else if (key.isNumber()) {
            collectNumber(key, node, values, errors);
        } else if (node.isTextual()) {
            values.put(key, node.textValue());
        } else {
            values.put(key, "");
            errors.add(path + ": must be a string: " + node);
        }
    }

    private static void collectNumber(
            SettingKey key, JsonNode node, Map<SettingKey, Object> values, List<String> errors) {
        values.put(key, node.asLong());
        if (!node.isIntegralNumber()) {
            errors.add(key.path() + ": must be a whole number: " + node);
        } else if (!node.canConvertToLong() || !key.accepts(node.longValue())) {
            errors.add(key.path() + ": must be " + key.range() + " " + key.unit() + ": " + node);
        }
    }

    private static boolean isGroup(String path) {
        return Arrays.stream(SettingKey.values())
                .anyMatch(key -> key.path().startsWith(path + "."));
    }

    private static void addDefaults(Map<SettingKey, Object> values, List<String> errors) {
        for (SettingKey key : SettingKey.values()) {
            if (values.containsKey(key)) {
                continue;
            }
            if (key.defaultValue() == null) {
                errors.add(key.path() + ": missing");
            } else {
                values.put(key, key.defaultValue());
            }
        }
    }

    private static void checkChoice(
            SettingKey key,
            Set<String> choices,
            Map<SettingKey, Object> values,
            List<String> errors) {
        Object value = values.get(key);
        if (!choices.contains(value) && !"".equals(value)) {
            errors.add(key.path() + ": must be " + key.meaning() + ": \"" + value + "\"");
        }
    }
}
