package org.endivetray;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * The one way in which values are written as JSON and read from it.
 *
 * <p>Only the components of records are written. Comments are allowed when reading; unknown keys
 * are refused.
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

    /** Returns the mapper; callers do not configure it. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }
}
