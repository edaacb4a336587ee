package org.endivetray.standin;

/**
 * One daemon as the callers see it.
 *
 * <p>This class is not thread-safe; the callers' event loop owns it.
 */
final class Target {
    private final int mCallersPort;
    private final int mOperatorsPort;
    private final long mPid;
    private boolean mReady = true;

    Target(int callersPort, int operatorsPort, long pid) {
        mCallersPort = callersPort;
        mOperatorsPort = operatorsPort;
        mPid = pid;
    }

    /** Returns the target of {@code callersPort:operatorsPort:pid}. */
    static Target ofText(String text) {
        String[] parts = text.split(":");
        return new Target(
                Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Long.parseLong(parts[2]));
    }

    int callersPort() {
        return mCallersPort;
    }

    int operatorsPort() {
        return mOperatorsPort;
    }

    long pid() {
        return mPid;
    }

    boolean isReady() {
        return mReady;
    }

    void setReady(boolean ready) {
        mReady = ready;
    }
}
