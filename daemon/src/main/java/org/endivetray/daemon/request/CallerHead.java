package org.endivetray.daemon.request;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.endivetray.ResultCode;
import org.endivetray.ServiceDeclaration;
import org.endivetray.daemon.state.Snapshot;

/**
 * The head of a caller's request: {@code METHOD /s/SERVICE/PATH} with the headers in
 * docs/INTERFACES.md.
 *
 * <p>This class is confined to the event loop of its connection.
 */
final class CallerHead {
    private static final String SERVICE_PATH_PREFIX = "/s/";
    private static final String MEMBER_HEADER = "X-Endivetray-Member";
    private static final String DEADLINE_HEADER = "X-Endivetray-Deadline-Millis";
    private static final String PRIORITY_HEADER = "X-Endivetray-Priority";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final int MAX_KEY_CHARS = 200;
    private static final Set<String> FORWARDED_HEADERS =
            Set.of("accept", "content-type", "idempotency-key");
    private static final Set<HttpMethod> REPEATABLE_METHODS =
            Set.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.OPTIONS,
                    HttpMethod.PUT,
                    HttpMethod.DELETE);

    private final HttpServerRequest mRequest;
    private final long mMaxDeadlineMillis;

    /**
     * Constructs a head.
     *
     * @param request the request, not null
     * @param maxDeadlineMillis longest time to a deadline, in milliseconds
     */
    CallerHead(HttpServerRequest request, long maxDeadlineMillis) {
        mRequest = request;
        mMaxDeadlineMillis = maxDeadlineMillis;
    }

    /** Returns the first failure that is found in the head, null if it is valid. */
    RequestResult failure(Snapshot snapshot) {
        String path = mRequest.path();
        if (path == null || !path.startsWith(SERVICE_PATH_PREFIX) || service().isEmpty()) {
            return RequestResult.failed(
                    ResultCode.MALFORMED_REQUEST, "path must be /s/SERVICE/...");
        }
        if (snapshot.service(service()).isEmpty()) {
            return RequestResult.failed(ResultCode.UNKNOWN_SERVICE, service());
        }
        if (member() == null || snapshot.member(member()).isEmpty()) {
            return RequestResult.failed(ResultCode.UNKNOWN_MEMBER, String.valueOf(member()));
        }
        String key = idempotencyKey();
        if (key != null && (key.isEmpty() || key.length() > MAX_KEY_CHARS)) {
            return RequestResult.failed(
                    ResultCode.MALFORMED_REQUEST,
                    "idempotency key has an invalid length of " + key.length());
        }
        return deadlineMillis(1) < 0
                ? RequestResult.failed(
                        ResultCode.MALFORMED_REQUEST,
                        "deadline must be a positive number of milliseconds")
                : null;
    }

    /** Returns the name of the service. */
    String service() {
        String path = mRequest.path();
        int end = path.indexOf('/', SERVICE_PATH_PREFIX.length());
        return end < 0
                ? path.substring(SERVICE_PATH_PREFIX.length())
                : path.substring(SERVICE_PATH_PREFIX.length(), end);
    }

    /** Returns the name of the member, null if there is none. */
    String member() {
        return mRequest.getHeader(MEMBER_HEADER);
    }

    /** Returns the idempotency key, null if there is none. */
    String idempotencyKey() {
        return mRequest.getHeader(KEY_HEADER);
    }

    /** Returns the time to the deadline in milliseconds, or -1 if the header is not positive. */
    long deadlineMillis(int defaultMillis) {
        String text = mRequest.getHeader(DEADLINE_HEADER);
        if (text == null) {
            return defaultMillis;
        }
        try {
            long millis = Long.parseLong(text);
            boolean isPositive = millis > 0;
            return isPositive ? Math.min(millis, mMaxDeadlineMillis) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Returns whether the request may run more than once. */
    boolean isRepeatable(ServiceDeclaration service) {
        return REPEATABLE_METHODS.contains(mRequest.method())
                || (mRequest.method() == HttpMethod.POST && service.repeatablePost());
    }

    /** Returns whether the request goes before others that are not urgent. */
    boolean isUrgent(ServiceDeclaration service) {
        String priority = mRequest.getHeader(PRIORITY_HEADER);
        return priority == null ? service.urgent() : priority.equals("urgent");
    }

    /** Returns the method of the request. */
    HttpMethod method() {
        return mRequest.method();
    }

    /** Returns the path and the query that the minion receives. */
    String minionUri() {
        String rest = mRequest.uri().substring(SERVICE_PATH_PREFIX.length() + service().length());
        return rest.startsWith("/") ? rest : "/" + rest;
    }

    /** Returns the headers that the minion receives. */
    Map<String, String> forwardedHeaders() {
        Map<String, String> headers = new HashMap<>();
        for (String name : FORWARDED_HEADERS) {
            String value = mRequest.getHeader(name);
            if (value != null) {
                headers.put(name, value);
            }
        }
        headers.put(MEMBER_HEADER, member());
        return headers;
    }
}
