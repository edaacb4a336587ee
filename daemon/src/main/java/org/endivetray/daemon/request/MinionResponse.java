package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/**
 * A complete response of a minion, held in memory.
 *
 * <p>This class is immutable and thread-safe as long as the body is not changed.
 *
 * @param status the HTTP status
 * @param headers the headers that are forwarded to the caller, not null
 * @param body the complete body, not null
 */
record MinionResponse(int status, Map<String, String> headers, Buffer body) {
    private static final int FIRST_FAILURE_STATUS = 500;

    MinionResponse {
        headers = Map.copyOf(headers);
    }

    /** Returns whether the status reports a failure of the minion. */
    boolean isFailure() {
        return status >= FIRST_FAILURE_STATUS;
    }
}
