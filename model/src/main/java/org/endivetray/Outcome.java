package org.endivetray;

/**
 * What a caller may conclude about a request from its result.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum Outcome {
    /** A minion ran the request and its whole answer was received. */
    ANSWERED("answered", true),
    /** The request provably never ran. */
    NOT_RUN("notRun", false),
    /** The request may have run; nobody can tell. */
    UNKNOWN("unknown", true),
    /** The result belongs to an operator's command and not to a request. */
    OPERATOR("operator", false);

    private final String mLabel;
    private final boolean mMayHaveRun;

    Outcome(String label, boolean mayHaveRun) {
        mLabel = label;
        mMayHaveRun = mayHaveRun;
    }

    /** Returns the name used in headers, logs and metrics. */
    public String label() {
        return mLabel;
    }

    /** Returns whether the request may have had an effect on a minion. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}
