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
 * <p>An answer is held until it is whole, up to {@link #MAX_BUFFERED_BYTES}; a longer one is passed
 * on while it arrives. An answer that names another request, breaks off or is too long is never
 * passed on as whole. A timeout or a cancel closes the connection, so a late answer reaches nobody.
 *
 * <p>Invariants: each attempt ends once.
 *
 * <p>This class is thread-safe; its state belongs to the traffic event loop.
 */
final class MinionClient {
    /** Longest answer that is held in memory, in bytes. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** Header by which a minion says that it did not run the request. */
    static final String REFUSED_HEADER = "X-Minion-Refused";

    /** Header that carries the request's id to the minion and back. */
    static final String ID_HEADER = "X-Request-Id";

    /** Header that carries the time left to the minion, in milliseconds. */
    static final String DEADLINE_HEADER = "X-Deadline-Millis";

    private static final long CONNECT_MILLIS = 500;
    private static final long STALE_DECISION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final Set<String> PASSED_ON = Set.of("content-type", "etag", "cache-control");

    private final Vertx mVertx;
    private final Context mContext;
    private final HttpClientAgent mClient;
    private final long mMaxAnswerBytes;
    private final Map<String, MinionConnections> mConnections = new HashMap<>();

    MinionClient(Vertx vertx, Context context, long maxAnswerBytes) {
        mVertx = vertx;
        mContext = context;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true));
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param endpoint the minion, not null
     * @param slots slots of the minion that this daemon may use
     * @param decidedNanos time of the decision on the monotonic clock, in nanoseconds
     * @param untilNanos time by which the answer must be whole, in nanoseconds
     * @param onEnd told of the end, on the traffic event loop, not null
     */
    Attempt send(
            RoutedRequest request,
            MinionEndpoint endpoint,
            int slots,
            long decidedNanos,
            long untilNanos,
            EndHandler onEnd) {
        Attempt attempt = new Attempt(request, endpoint, slots, untilNanos, onEnd);
        mContext.runOnContext(ignored -> attempt.begin(decidedNanos));
        return attempt;
    }

    /** Closes connections to minions that this daemon may not use any more. */
    void trim(Map<String, Integer> keepAtMost) {
        mContext.runOnContext(
                ignored ->
                        mConnections.forEach(
                                (address, connections) ->
                                        connections.trim(keepAtMost.getOrDefault(address, 0))));
    }

    private MinionConnections connectionsOf(MinionEndpoint endpoint) {
        return mConnections.computeIfAbsent(
                endpoint.address(),
                address -> new MinionConnections(mClient, endpoint, CONNECT_MILLIS));
    }

    /** Told of the end of an attempt. */
    @FunctionalInterface
    interface EndHandler {
        /**
         * Takes in the end.
         *
         * @param end how the attempt ended, not null
         * @param answer the whole answer if it is held, else null
         */
        void onEnd(AttemptOutcome end, MinionResponse answer);
    }

    /** One request on its way to one minion. */
    final class Attempt {
        private final RoutedRequest mRequest;
        private final MinionEndpoint mEndpoint;
        private final int mSlots;
        private final long mUntilNanos;
        private final EndHandler mOnEnd;
        private HttpClientConnection mConnection;
        private boolean mEnded;
        private long mTimer = -1;
        private Buffer mHeld = Buffer.buffer();
        private long mReceived;
        private ResponseStream mStream;

        Attempt(
                RoutedRequest request,
                MinionEndpoint endpoint,
                int slots,
                long untilNanos,
                EndHandler onEnd) {
            mRequest = request;
            mEndpoint = endpoint;
            mSlots = slots;
            mUntilNanos = untilNanos;
            mOnEnd = onEnd;
        }

        /** Breaks the attempt off, as when the caller went away. */
        void cancel() {
            mContext.runOnContext(ignored -> end(AttemptOutcome.CANCELLED, null));
        }

        /** Breaks the attempt off since the minion seems to have stalled. */
        void timeOut() {
            mContext.runOnContext(ignored -> end(AttemptOutcome.LATE, null));
        }

        private void begin(long decidedNanos) {
            long now = System.nanoTime();
            if (now - decidedNanos > STALE_DECISION_NANOS || now - mUntilNanos >= 0) {
                end(AttemptOutcome.NOT_SENT, null);
                return;
            }
            long left = TimeUnit.NANOSECONDS.toMillis(mUntilNanos - now) + 1;
            mTimer = mVertx.setTimer(left, ignored -> onTimer());
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
            if (System.nanoTime() - decidedNanos > CONNECT_MILLIS * 2_000_000) {
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
            long left = TimeUnit.NANOSECONDS.toMillis(mUntilNanos - System.nanoTime());
            request.putHeader(DEADLINE_HEADER, Long.toString(Math.max(0, left)));
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
            response.endHandler(ignored -> onWhole(response, refused));
        }

        private void onBytes(HttpClientResponse response, Buffer bytes) {
            if (mEnded) {
                return;
            }
            mReceived += bytes.length();
            if (mReceived > mMaxAnswerBytes) {
                end(AttemptOutcome.DAMAGED, null);
            } else if (mStream != null) {
                pass(response, bytes);
            } else if (mReceived > MAX_BUFFERED_BYTES) {
                mStream = mRequest.sink().beginStream(response, mHeld);
                mHeld = null;
                pass(response, bytes);
            } else {
                mHeld.appendBuffer(bytes);
            }
        }

        private void pass(HttpClientResponse response, Buffer bytes) {
            mStream.out().write(bytes);
            if (mStream.out().writeQueueFull()) {
                response.pause();
                mStream.out().drainHandler(ignored -> response.resume());
            }
        }

        private void onWhole(HttpClientResponse response, boolean refused) {
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
                end(AttemptOutcome.ANSWERED, toAnswer(response));
            }
        }

        private MinionResponse toAnswer(HttpClientResponse response) {
            Map<String, String> headers = new HashMap<>();
            for (String name : PASSED_ON) {
                String value = response.getHeader(name);
                if (value != null) {
                    headers.put(name, value);
                }
            }
            return new MinionResponse(response.statusCode(), headers, mHeld);
        }

        private void end(AttemptOutcome end, MinionResponse answer) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            if (mTimer >= 0) {
                mVertx.cancelTimer(mTimer);
            }
            AttemptOutcome last = end;
            if (mConnection != null) {
                mConnection.close();
                mConnection = null;
            }
            if (mStream != null && !end.isAnswered()) {
                mStream.abort();
                last = AttemptOutcome.STREAM_CUT;
            }
            mOnEnd.onEnd(last, answer);
        }
    }
}
