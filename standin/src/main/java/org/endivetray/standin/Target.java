package org.endivetray.standin;

/**
 * A daemon under load, with its ports, process id and readiness.
 *
 * <p>This class is not thread-safe.
 */
final class Target {
    private final int mCallersPort;
    private final int mOperatorsPort;
    private final long mPid;
    private boolean mIsReady = true;

    Target(int callersPort, int operatorsPort, long pid) {
        mCallersPort = callersPort;
        mOperatorsPort = operatorsPort;
        mPid = pid;
    }

    /** Parses a target in the form {@code callersPort:operatorsPort:pid}. */
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
        return mIsReady;
    }

    void setReady(boolean ready) {
        mIsReady = ready;
    }
}
