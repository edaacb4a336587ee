package org.endivetray.daemon.request;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivetray.MinionEndpoint;

/**
 * Sends requests to minions, one at a time per connection.
 *
 * <p>A response is buffered until it is complete, up to {@link #MAX_BUFFERED_BYTES}; a longer one
 * is forwarded while it is received. A response that carries another request's id, is truncated or
 * is too long is never forwarded as complete. A timeout or a cancellation closes the connection, so
 * that a late response is discarded.
 *
 * <p>Invariants: each attempt ends once.
 *
 * <p>This class is thread-safe; its state is confined to the traffic event loop.
 */
final class MinionClient {
    /** Maximum length of a response that is buffered, in bytes. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** Header of a response by which a minion states that it did not run the request. */
    static final String REFUSED_HEADER = "X-Minion-Refused";

    /** Header that carries the request id to the minion and back. */
    static final String ID_HEADER = "X-Request-Id";

    /** Header that carries the time to the deadline to the minion, in milliseconds. */
    static final String DEADLINE_HEADER = "X-Deadline-Millis";

    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long MAX_DECISION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final Set<String> FORWARDED_HEADERS =
            Set.of("content-type", "etag", "cache-control");

    private final Vertx mVertx;
    private final Context mContext;
    private final HttpClientAgent mClient;
    private final long mMaxResponseBytes;
    private final Map<String, MinionConnections> mConnections = new HashMap<>();

    MinionClient(Vertx vertx, Context context, long maxResponseBytes) {
        mVertx = vertx;
        mContext = context;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true));
        mMaxResponseBytes = maxResponseBytes;
    }

    /**
     * Sends a request to a minion.
     *
     * @param request the request, not null
     * @param endpoint the minion, not null
     * @param slots number of the minion's slots that this daemon may use; at most as many idle
     *     connections are kept
     * @param decidedNanos time of the routing decision on the monotonic clock, in nanoseconds; a
     *     request whose decision is too old is not sent
     * @param deadlineNanos time on the monotonic clock by which the response must be complete, in
     *     nanoseconds
     * @param onEnd called with the outcome on the traffic event loop, not null
     */
    Attempt send(
            RoutedRequest request,
            MinionEndpoint endpoint,
            int slots,
            long decidedNanos,
            long deadlineNanos,
            EndHandler onEnd) {
        Attempt attempt = new Attempt(request, endpoint, slots, deadlineNanos, onEnd);
        mContext.runOnContext(ignored -> attempt.begin(decidedNanos));
        return attempt;
    }

    /**
     * Closes idle connections that have been idle too long or exceed the maximum of their address.
     *
     * @param maxIdlePerAddress maximum number of idle connections by address, 0 if absent, not null
     */
    void trim(Map<String, Integer> maxIdlePerAddress) {
        mContext.runOnContext(
                ignored ->
                        mConnections.forEach(
                                (address, connections) ->
                                        connections.trim(
                                                maxIdlePerAddress.getOrDefault(address, 0))));
    }

    private MinionConnections connectionsOf(MinionEndpoint endpoint) {
        return mConnections.computeIfAbsent(
                endpoint.address(),
                address -> new MinionConnections(mClient, endpoint, CONNECT_TIMEOUT_MILLIS));
    }

    /** Receives the outcome of an attempt. */
    @FunctionalInterface
    interface EndHandler {
        /**
         * Handles the outcome; called once per attempt.
         *
         * @param outcome the outcome of the attempt, not null
         * @param minionResponse the complete response if it was buffered, else null
         */
        void onEnd(AttemptOutcome outcome, MinionResponse minionResponse);
    }

    /**
     * An attempt to send a request to a minion.
     *
     * <p>This class is thread-safe; its state is confined to the traffic event loop.
     */
    final class Attempt {
        private final RoutedRequest mRequest;
        private final MinionEndpoint mEndpoint;
        private final int mSlots;
        private final long mDeadlineNanos;
        private final EndHandler mOnEnd;
        private HttpClientConnection mConnection;
        private boolean mEnded;
        private long mTimer = -1;
        private Buffer mBuffered = Buffer.buffer();
        private long mReceivedBytes;
        private ResponseStream mStream;

        Attempt(
                RoutedRequest request,
                MinionEndpoint endpoint,
                int slots,
                long deadlineNanos,
                EndHandler onEnd) {
            mRequest = request;
            mEndpoint = endpoint;
            mSlots = slots;
            mDeadlineNanos = deadlineNanos;
            mOnEnd = onEnd;
        }

        /** Cancels the attempt, for example because the caller disconnected. */
        void cancel() {
            mContext.runOnContext(ignored -> end(AttemptOutcome.CANCELLED, null));
        }

        /** Ends the attempt as late because the minion seems to have stalled. */
        void timeOut() {
            mContext.runOnContext(ignored -> end(AttemptOutcome.LATE, null));
        }

        private void begin(long decidedNanos) {
            long now = System.nanoTime();
            if (now - decidedNanos > MAX_DECISION_AGE_NANOS || now - mDeadlineNanos >= 0) {
                end(AttemptOutcome.NOT_SENT, null);
                return;
            }
            long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - now) + 1;
            mTimer = mVertx.setTimer(timeoutMillis, ignored -> onTimer());
            connectionsOf(mEndpoint)
                    .acquire()
                    .onSuccess(connection -> onConnected(connection, decidedNanos))
                    .onFailure(cause -> end(AttemptOutcome.NOT_CONNECTED, null));
        }

        private void onTimer() {
            mTimer = -1;
            end(mConnection == null ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.LATE, null);
        }

        private void onConnected(HttpClientConnection connection, long decidedNanos) {
            if (mEnded) {
                connectionsOf(mEndpoint).release(connection, mSlots);
                return;
            }
            // Twice the connect timeout, in nanoseconds.
            if (System.nanoTime() - decidedNanos > CONNECT_TIMEOUT_MILLIS * 2_000_000) {
                connectionsOf(mEndpoint).release(connection, mSlots);
                end(AttemptOutcome.NOT_SENT, null);
                return;
            }
            mConnection = connection;
            connection
                    .request(
                            new RequestOptions()
                                    .setMethod(mRequest.method())
                                    .setURI(mRequest.uri()))
                    .onSuccess(this::write)
                    .onFailure(cause -> end(AttemptOutcome.NOT_CONNECTED, null));
        }

        private void write(HttpClientRequest request) {
            if (mEnded) {
                return;
            }
            mRequest.headers().forEach(request::putHeader);
            request.putHeader("Host", mEndpoint.address());
            request.putHeader(ID_HEADER, mRequest.id());
            long remainingMillis =
                    TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - System.nanoTime());
            request.putHeader(DEADLINE_HEADER, Long.toString(Math.max(0, remainingMillis)));
            request.exceptionHandler(cause -> end(AttemptOutcome.LOST, null));
            request.response()
                    .onSuccess(this::onResponse)
                    .onFailure(cause -> end(AttemptOutcome.LOST, null));
            request.end(mRequest.body());
        }

        private void onResponse(HttpClientResponse response) {
            if (mEnded) {
                return;
            }
            boolean refused = response.getHeader(REFUSED_HEADER) != null;
            if (!refused && !mRequest.id().equals(response.getHeader(ID_HEADER))) {
                end(AttemptOutcome.DAMAGED, null);
                return;
            }
            response.exceptionHandler(cause -> end(AttemptOutcome.DAMAGED, null));
            response.handler(bytes -> onBytes(response, bytes));
            response.endHandler(ignored -> onComplete(response, refused));
        }

        private void onBytes(HttpClientResponse response, Buffer bytes) {
            if (mEnded) {
                return;
            }
            mReceivedBytes += bytes.length();
            if (mReceivedBytes > mMaxResponseBytes) {
                end(AttemptOutcome.DAMAGED, null);
            } else if (mStream != null) {
                forward(response, bytes);
            } else if (mReceivedBytes > MAX_BUFFERED_BYTES) {
                mStream = mRequest.sink().beginStream(response, mBuffered);
                mBuffered = null;
                forward(response, bytes);
            } else {
                mBuffered.appendBuffer(bytes);
            }
        }

        private void forward(HttpClientResponse response, Buffer bytes) {
            mStream.out().write(bytes);
            if (mStream.out().writeQueueFull()) {
                response.pause();
                mStream.out().drainHandler(ignored -> response.resume());
            }
        }

        private void onComplete(HttpClientResponse response, boolean refused) {
            if (mEnded) {
                return;
            }
            HttpClientConnection connection = mConnection;
            mConnection = null;
            connectionsOf(mEndpoint).release(connection, mSlots);
            if (mStream != null) {
                mStream.complete();
                end(AttemptOutcome.STREAMED, null);
            } else if (refused) {
                end(AttemptOutcome.REFUSED, null);
            } else {
                end(AttemptOutcome.ANSWERED, toMinionResponse(response));
            }
        }

        private MinionResponse toMinionResponse(HttpClientResponse response) {
            Map<String, String> headers = new HashMap<>();
            for (String name : FORWARDED_HEADERS) {
                String value = response.getHeader(name);
                if (value != null) {
                    headers.put(name, value);
                }
            }
            return new MinionResponse(response.statusCode(), headers, mBuffered);
        }

        private void end(AttemptOutcome outcome, MinionResponse minionResponse) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            if (mTimer >= 0) {
                mVertx.cancelTimer(mTimer);
            }
            AttemptOutcome reported = outcome;
            if (mConnection != null) {
                mConnection.close();
                mConnection = null;
            }
            if (mStream != null && !outcome.isAnswered()) {
                mStream.abort();
                reported = AttemptOutcome.STREAM_CUT;
            }
            mOnEnd.onEnd(reported, minionResponse);
        }
    }
}
