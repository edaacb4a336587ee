package org.endivetray;

import java.util.Objects;

/**
 * Thrown when an operation fails, with a numbered result code.
 *
 * <p>Invariants: the code is never null.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class EndivetrayException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;

    /**
     * Constructs a failure.
     *
     * @param code the numbered code, not null
     * @param message what is wrong, naming the bad value, not null
     */
    public EndivetrayException(ResultCode code, String message) {
        super(message);
        mCode = Objects.requireNonNull(code, "code");
    }

    /**
     * Constructs a failure with a cause.
     *
     * @param code the numbered code, not null
     * @param message what is wrong, naming the bad value, not null
     * @param cause the underlying failure, null allowed
     */
    public EndivetrayException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        mCode = Objects.requireNonNull(code, "code");
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return mCode;
    }
}
