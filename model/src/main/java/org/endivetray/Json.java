package org.endivetray;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * The JSON mapper that all modules share.
 *
 * <p>A record is written with its components only; methods named {@code isX} add no key. When
 * reading, comments and trailing commas are accepted and unknown keys are rejected.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Returns the shared mapper, which callers must not reconfigure. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }
}
