package org.endivetray.daemon.request;

/**
 * The stored claim of an idempotency key.
 *
 * <p>Invariants: the token is unique per attempt to claim a key; only in state DONE do status,
 * content type and body hold a response.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param token identifies the attempt that claimed the key, not null
 * @param state the progress of the request, not null
 * @param status the HTTP status of the response, 0 if none is stored
 * @param contentType the content type of the response, or empty
 * @param body the response body in Base64, or empty
 */
record ClaimRecord(String token, State state, int status, String contentType, String body) {
    static ClaimRecord ofRunning(String token) {
        return new ClaimRecord(token, State.RUNNING, 0, "", "");
    }

    ClaimRecord withState(State state) {
        return new ClaimRecord(token, state, 0, "", "");
    }

    /**
     * The progress of a request whose key is claimed.
     *
     * <p>This enum is immutable and thread-safe.
     */
    enum State {
        /** The request may be in progress. */
        RUNNING,
        /** The request was answered, and its response is stored. */
        DONE,
        /** The request was answered, but its response was too long to store. */
        DONE_WITHOUT_BODY,
        /** The request may have run, but its response was lost. */
        LOST
    }
}
