package org.endivetray.daemon.request;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.endivetray.Member;
import org.endivetray.Outcome;
import org.endivetray.ResultCode;
import org.endivetray.policy.WaitQueue;

/**
 * A request that is routed from a caller to a minion.
 *
 * <p>Invariants: the properties given at construction do not change; the request is queued, in
 * flight or ended.
 *
 * <p>The properties given at construction may be read by any thread; the progress is confined to
 * the router's thread.
 */
final class RoutedRequest {
    private final String mId;
    private final String mService;
    private final HttpMethod mMethod;
    private final String mUri;
    private final Map<String, String> mHeaders;
    private final Buffer mBody;
    private final boolean mRepeatable;
    private final boolean mUrgent;
    private final long mReceivedNanos;
    private final long mDeadlineNanos;
    private final ResultSink mSink;
    private final WaitQueue.Entry<RoutedRequest> mQueueEntry;
    private final Set<String> mTriedAddresses = new HashSet<>();
    private int mAttempts;
    private long mSentNanos;
    private boolean mEnded;
    private boolean mCallerGone;
    private boolean mMayHaveRun;
    private MinionClient.Attempt mCurrentAttempt;
    private MinionState mLastMinion;

    RoutedRequest(
            String id,
            String service,
            Call call,
            Member member,
            boolean urgent,
            boolean repeatable,
            long receivedNanos,
            long deadlineNanos,
            ResultSink sink) {
        mId = id;
        mService = service;
        mMethod = call.method();
        mUri = call.uri();
        mHeaders = call.headers();
        mBody = call.body();
        mRepeatable = repeatable;
        mUrgent = urgent;
        mReceivedNanos = receivedNanos;
        mDeadlineNanos = deadlineNanos;
        mSink = sink;
        mQueueEntry =
                new WaitQueue.Entry<>(this, member.name(), member.weight(), urgent, deadlineNanos);
    }

    String id() {
        return mId;
    }

    String service() {
        return mService;
    }

    HttpMethod method() {
        return mMethod;
    }

    String uri() {
        return mUri;
    }

    Map<String, String> headers() {
        return mHeaders;
    }

    Buffer body() {
        return mBody;
    }

    boolean isRepeatable() {
        return mRepeatable;
    }

    boolean isUrgent() {
        return mUrgent;
    }

    String member() {
        return mQueueEntry.member();
    }

    long receivedNanos() {
        return mReceivedNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    ResultSink sink() {
        return mSink;
    }

    WaitQueue.Entry<RoutedRequest> queueEntry() {
        return mQueueEntry;
    }

    Set<String> triedAddresses() {
        return mTriedAddresses;
    }

    int attempts() {
        return mAttempts;
    }

    long sentNanos() {
        return mSentNanos;
    }

    boolean isEnded() {
        return mEnded;
    }

    boolean isCallerGone() {
        return mCallerGone;
    }

    /** Returns the minion to which the request was last sent, or null if it was not sent. */
    MinionState lastMinion() {
        return mLastMinion;
    }

    MinionClient.Attempt currentAttempt() {
        return mCurrentAttempt;
    }

    void onSent(MinionState minion, MinionClient.Attempt attempt, long nowNanos) {
        mAttempts++;
        mTriedAddresses.add(minion.endpoint().address());
        mCurrentAttempt = attempt;
        mLastMinion = minion;
        mSentNanos = nowNanos;
    }

    void onAttemptEnded(AttemptOutcome outcome) {
        mCurrentAttempt = null;
        mMayHaveRun |= !outcome.isNotRun();
    }

    /**
     * Returns the result to report to the caller. A result that says that the request did not run
     * is replaced if an earlier attempt may have run.
     *
     * @param result the result of the last attempt or of the wait for one, not null
     */
    RequestResult reported(RequestResult result) {
        boolean isUntrue = mMayHaveRun && result.code().outcome() == Outcome.NOT_RUN;
        return isUntrue
                ? RequestResult.failed(
                        ResultCode.ANSWER_LOST,
                        "an earlier attempt may have run; then: " + result.detail())
                : result;
    }

    void onCallerGone() {
        mCallerGone = true;
    }

    void onEnded() {
        mEnded = true;
    }

    /**
     * The HTTP message that is sent to the minion.
     *
     * <p>This class is immutable and thread-safe as long as the body is not changed.
     *
     * @param method the HTTP method, not null
     * @param uri the path and query, not null
     * @param headers the headers that are forwarded to the minion, not null
     * @param body the body, not null
     */
    record Call(HttpMethod method, String uri, Map<String, String> headers, Buffer body) {
        Call {
            headers = Map.copyOf(headers);
        }
    }
}
