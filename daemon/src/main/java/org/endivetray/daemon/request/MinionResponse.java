package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/**
 * A minion's whole answer, held in memory.
 *
 * <p>This class is immutable and thread-safe as long as the body is not changed.
 *
 * @param status the HTTP status
 * @param headers the headers that are passed on, not null
 * @param body the whole body, not null
 */
record MinionResponse(int status, Map<String, String> headers, Buffer body) {
    private static final int FIRST_FAILURE_STATUS = 500;

    MinionResponse {
        headers = Map.copyOf(headers);
    }

    /** Returns whether the minion reports that it failed. */
    boolean isFailure() {
        return status >= FIRST_FAILURE_STATUS;
    }
}
