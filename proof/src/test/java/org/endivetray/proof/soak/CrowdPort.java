package org.endivetray.proof.soak;

import java.nio.charset.StandardCharsets;

/** A port of the product that clients or peers reach, with what a crowd sends to it. */
enum CrowdPort {
    /** Callers of the daemon that schedules jobs. */
    FRONT("/alpha/00000000000000aa", "", 262_144),
    /** Readiness checks of the daemon that schedules jobs. */
    READY("/api/ready", "", 262_144),
    /** Metrics of the daemon that schedules jobs. */
    METRICS("/metrics", "", 262_144),
    /** Other daemons that schedule jobs. */
    INNER("", "", 4 << 20),
    /** Callers of the daemon that routes requests. */
    CALLERS("/s/charts/x", "X-Endivetray-Member: polestar\r\n", 1 << 20),
    /** Operators of the daemon that routes requests. */
    OPERATORS("/v1/plans", "X-Endivetray-Operator: crowd\r\n", 1 << 20),
    /** Other daemons that route requests. */
    REQUEST_INNER("", "", 4 << 20);

    private final String mPath;
    private final String mHeaders;
    private final int mBodyBytes;

    CrowdPort(String path, String headers, int bodyBytes) {
        mPath = path;
        mHeaders = headers;
        mBodyBytes = bodyBytes;
    }

    /** Returns whether the port belongs to the daemon that routes requests. */
    boolean routesRequests() {
        return this == CALLERS || this == OPERATORS || this == REQUEST_INNER;
    }

    /** Returns whether the port receives frames of the protocol between daemons. */
    boolean isInner() {
        return this == INNER || this == REQUEST_INNER;
    }

    /** Returns the size of a large legal body or frame, in bytes. */
    int bodyBytes() {
        return mBodyBytes;
    }

    /** Returns the head of a request with a body. */
    byte[] head(String header) {
        return ("POST " + mPath + " HTTP/1.1\r\nHost: yard.example\r\n" + mHeaders + header)
                .concat("\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns a request without a body that the daemon answers by itself at once. */
    byte[] smallRequest() {
        return OrdinaryClient.get(this == FRONT ? "/none/" : mPath, mHeaders);
    }
}
