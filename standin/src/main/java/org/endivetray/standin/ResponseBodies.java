package org.endivetray.standin;

/**
 * Creates the response bodies of the minion stand-in. A body begins and ends with a line that names
 * its request, so that a caller can check that the response is complete and its own.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class ResponseBodies {
    private ResponseBodies() {}

    /**
     * Returns the response body of a request.
     *
     * @param service name of the service, not null
     * @param token identifier of the request, not null
     * @param bytes minimum length of the repeated part, in bytes
     */
    public static String of(String service, String token, int bytes) {
        StringBuilder text = new StringBuilder();
        text.append("begin ").append(service).append(' ').append(token).append('\n');
        while (text.length() < bytes) {
            text.append(token).append('\n');
        }
        return text.append("end ").append(token).append('\n').toString();
    }
}
