package org.endivetray.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivetray.EndivetrayException;
import org.endivetray.Json;
import org.endivetray.ResultCode;

/**
 * Sends requests to the operator HTTP interface of the first daemon that can be reached.
 *
 * <p>Daemons are tried in the given order. A request that failed on a connection may have been
 * handled before it is sent to the next daemon.
 *
 * <p>Invariants: a failed request throws an {@link EndivetrayException} with the code that the
 * daemon returned, or with {@link ResultCode#DAEMON_UNREACHABLE} if no daemon responded.
 *
 * <p>This class is thread-safe; its methods block.
 */
final class DaemonClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int CALL_TIMEOUT_MILLIS = 15_000;

    private final Vertx mVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final HttpClient mClient =
            mVertx.createHttpClient(
                    new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    private final String[] mServers;
    private final String mOperator;

    /**
     * Constructs a client.
     *
     * @param servers {@code host:port} of one or more daemons, separated by commas, not null
     * @param operator the name of the operator, not null
     */
    DaemonClient(String servers, String operator) {
        mServers = servers.split(",");
        mOperator = operator;
    }

    /** Returns the response to a GET request. */
    JsonNode read(String uri) {
        return call(HttpMethod.GET, uri, null);
    }

    /** Returns the response to a POST request with a JSON body, or an empty body if null. */
    JsonNode post(String uri, Object body) {
        byte[] bytes =
                body == null ? new byte[0] : Json.mapper().valueToTree(body).toString().getBytes();
        return call(HttpMethod.POST, uri, bytes);
    }

    /** Closes all connections. */
    void stop() {
        mVertx.close();
    }

    private JsonNode call(HttpMethod method, String uri, byte[] body) {
        EndivetrayException lastFailure = null;
        for (String server : mServers) {
            try {
                return call(server.trim(), method, uri, body);
            } catch (EndivetrayException e) {
                if (e.code() != ResultCode.DAEMON_UNREACHABLE) {
                    throw e;
                }
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    private JsonNode call(String server, HttpMethod method, String uri, byte[] body) {
        RequestOptions options = options(server, method, uri);
        try {
            return mClient.request(options)
                    .compose(
                            request -> {
                                request.putHeader("X-Endivetray-Operator", mOperator);
                                return body == null
                                        ? request.send()
                                        : request.send(Buffer.buffer(body));
                            })
                    .compose(DaemonClient::readResponse)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof EndivetrayException known) {
                throw known;
            }
            throw unreachable(server, String.valueOf(e.getCause().getMessage()));
        } catch (TimeoutException e) {
            throw unreachable(server, "no response within the timeout");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unreachable(server, "interrupted");
        }
    }

    private static RequestOptions options(String server, HttpMethod method, String uri) {
        int colon = server.lastIndexOf(':');
        try {
            return new RequestOptions()
                    .setMethod(method)
                    .setHost(server.substring(0, Math.max(0, colon)))
                    .setPort(Integer.parseInt(server.substring(colon + 1)))
                    .setURI(uri);
        } catch (NumberFormatException e) {
            throw new EndivetrayException(
                    ResultCode.USAGE, "--server must be host:port: '" + server + "'", e);
        }
    }

    private static Future<JsonNode> readResponse(HttpClientResponse response) {
        return response.body().map(body -> parseResponse(response.statusCode(), body.getBytes()));
    }

    private static JsonNode parseResponse(int status, byte[] bytes) {
        JsonNode json;
        try {
            json = Json.mapper().readTree(bytes);
        } catch (IOException e) {
            throw new EndivetrayException(
                    ResultCode.INTERNAL, "cannot parse the response of the daemon as JSON", e);
        }
        if (status >= 400) {
            ResultCode code =
                    ResultCode.ofNumber(json.path("code").asInt()).orElse(ResultCode.INTERNAL);
            throw new EndivetrayException(code, json.path("message").asText());
        }
        return json;
    }

    private static EndivetrayException unreachable(String server, String reason) {
        return new EndivetrayException(ResultCode.DAEMON_UNREACHABLE, server + ": " + reason);
    }
}
