package org.endivetray.daemon.request;

/**
 * The stored claim of an idempotency key.
 *
 * <p>Invariants: the token is unique per claimed attempt; status and body are those of the answer
 * in state DONE.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param token identifies who claimed the key, not null
 * @param state how far the request has come, not null
 * @param status the answer's HTTP status, 0 if there is none
 * @param contentType the answer's content type, or empty
 * @param body the answer's body in Base64, or empty
 */
record ClaimRecord(String token, State state, int status, String contentType, String body) {
    static ClaimRecord ofRunning(String token) {
        return new ClaimRecord(token, State.RUNNING, 0, "", "");
    }

    ClaimRecord withState(State state) {
        return new ClaimRecord(token, state, 0, "", "");
    }

    /**
     * How far a claimed request has come.
     *
     * <p>This enum is immutable and thread-safe.
     */
    enum State {
        /** It may be under way. */
        RUNNING,
        /** It was answered, and the answer is kept. */
        DONE,
        /** It was answered, and the answer was too long to keep. */
        DONE_WITHOUT_BODY,
        /** It may have run; its answer was lost. */
        LOST
    }
}
