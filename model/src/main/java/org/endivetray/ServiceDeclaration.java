package org.endivetray;

/**
 * What an operator declares of a service.
 *
 * <p>Invariants: the name is not null; both times are positive, in milliseconds.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the service's unique name, not null
 * @param repeatablePost whether a POST may be sent twice without harm
 * @param urgent whether requests go before patient ones unless they say otherwise
 * @param deadlineMillis deadline of a request that names none, in milliseconds
 */
public record ServiceDeclaration(
        String name, boolean repeatablePost, boolean urgent, int deadlineMillis) {
    /** Deadline of a request when neither it nor its service names one, in milliseconds. */
    public static final int DEFAULT_DEADLINE_MILLIS = 5_000;

    public ServiceDeclaration {
        deadlineMillis = deadlineMillis <= 0 ? DEFAULT_DEADLINE_MILLIS : deadlineMillis;
    }

    /** Returns a declaration with the default deadline and no repeatable POST. */
    public static ServiceDeclaration ofName(String name) {
        return new ServiceDeclaration(name, false, false, DEFAULT_DEADLINE_MILLIS);
    }
}
