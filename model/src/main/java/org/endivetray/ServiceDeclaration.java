package org.endivetray;

/**
 * An operator's declaration of a service.
 *
 * <p>Invariants: the name is not null; the deadline is positive.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the service's unique name, not null
 * @param repeatablePost whether POST requests are safe to repeat
 * @param urgent whether requests that state no priority are urgent and precede others
 * @param deadlineMillis deadline of a request that states none, in milliseconds, 0 or less for
 *     {@link #DEFAULT_DEADLINE_MILLIS}
 */
public record ServiceDeclaration(
        String name, boolean repeatablePost, boolean urgent, int deadlineMillis) {
    /** Deadline of a request if neither it nor its service states one, in milliseconds. */
    public static final int DEFAULT_DEADLINE_MILLIS = 5_000;

    public ServiceDeclaration {
        deadlineMillis = deadlineMillis <= 0 ? DEFAULT_DEADLINE_MILLIS : deadlineMillis;
    }

    /**
     * Returns a declaration of a service that is not urgent, has the default deadline and does not
     * allow POST requests to be repeated.
     */
    public static ServiceDeclaration ofName(String name) {
        return new ServiceDeclaration(name, false, false, DEFAULT_DEADLINE_MILLIS);
    }
}
