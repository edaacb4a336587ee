package org.endivetray;

/**
 * What a result tells a caller about whether its request ran.
 *
 * <p>This enum is immutable and thread-safe.
 */
public enum Outcome {
    /** A minion ran the request and its complete answer was received. */
    ANSWERED("answered", true),
    /** The request certainly did not run. */
    NOT_RUN("notRun", false),
    /** The request may or may not have run. */
    UNKNOWN("unknown", true),
    /** The result belongs to an operator's command, not to a request. */
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
