package org.endivetray.standin;

/**
 * The answers of the minion stand-in, which a caller can tell to be whole and its own.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class ResponseBodies {
    private ResponseBodies() {}

    /**
     * Returns the answer to a request.
     *
     * @param service the service's name, not null
     * @param token names the request, not null
     * @param bytes least length of the answer, in bytes
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
