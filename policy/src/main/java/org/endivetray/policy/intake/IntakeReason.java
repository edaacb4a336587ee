package org.endivetray.policy.intake;

import java.util.Locale;

/** Why a request was refused or its connection closed before it was received completely. */
public enum IntakeReason {
    /** The bytes that are being received leave no room for the body. */
    BUSY,
    /** The body is larger than the limit. */
    TOO_LARGE,
    /** The body arrived too slowly while others waited for its room. */
    TOO_SLOW,
    /** The body was not received within its time limit. */
    TIMED_OUT,
    /** The limit of open connections was reached. */
    TOO_MANY_CONNECTIONS,
    /** Too many requests of a connection wait for the answer to an earlier one. */
    TOO_MANY_PIPELINED,
    /** The caller does not read its answers. */
    ANSWERS_NOT_READ;

    /** Returns the name that logs and metrics show. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
