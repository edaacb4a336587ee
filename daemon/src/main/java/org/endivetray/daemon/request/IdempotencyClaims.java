package org.endivetray.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.Store;
import org.endivetray.platform.VersionedValue;

/**
 * Claims idempotency keys in the store, so that a request that may not be repeated runs at most
 * once however often and through whichever daemon it is sent.
 *
 * <p>A key is claimed by create-if-absent before the request is sent. The answer is kept with the
 * claim and given to later requests with the key. A claim whose request provably did not run is
 * deleted; one whose outcome is not known stays, and later requests are told so.
 *
 * <p>Invariants: a request with a key is sent only by the holder of its claim's token.
 *
 * <p>This class is thread-safe.
 */
final class IdempotencyClaims {
    private static final Logger LOGGER = System.getLogger(IdempotencyClaims.class.getName());
    private static final long POLL_MILLIS = 100;
    private static final long RETRY_MILLIS = 500;
    private static final int MAX_UNSETTLED = 10_000;
    private static final int ABANDON_CHECKS = 3;
    private static final EndivetrayException TOO_LATE =
            new EndivetrayException(
                    ResultCode.CLAIM_UNAVAILABLE, "the store did not answer by the deadline");
    private static final long LEASE_REUSE_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Longest time that a call for a lease is waited for, in milliseconds. A caller's patience. */
    private static final long LEASE_CALL_MILLIS = 3_000;

    private static final int MAX_KEPT_BYTES = 32 * 1024;

    private final Vertx mVertx;
    private final Store mStore;
    private final long mLeaseMillis;
    private final AtomicInteger mUnsettled = new AtomicInteger();
    private Future<String> mLease;
    private long mLeaseNanos;

    /**
     * Constructs the claims.
     *
     * @param vertx the event loops, not null
     * @param store the platform's store, not null
     * @param claimHours time for which a claim is kept, in hours
     */
    IdempotencyClaims(Vertx vertx, Store store, int claimHours) {
        mVertx = vertx;
        mStore = store;
        mLeaseMillis = TimeUnit.HOURS.toMillis(claimHours + 1L);
    }

    /** Returns the stored key of a caller's idempotency key. */
    static String keyOf(String service, String member, String key) {
        return StateKeys.CLAIM
                + service
                + "/"
                + member
                + "/"
                + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    /**
     * Claims a key, or finds out what became of the request that claimed it.
     *
     * @param key the stored key, not null
     * @param deadlineNanos time until which to wait for another claimant, in nanoseconds
     */
    Future<Claim> claim(String key, long deadlineNanos) {
        String token = UUID.randomUUID().toString();
        Promise<Claim> inTime = Promise.promise();
        long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        long timer =
                mVertx.setTimer(
                        Math.max(1, left),
                        ignored -> inTime.tryComplete(Claim.refused(key, TOO_LATE)));
        claimAtAnyTime(key, token, deadlineNanos)
                .onSuccess(
                        claim -> {
                            mVertx.cancelTimer(timer);
                            if (!inTime.tryComplete(claim) && claim.isHeld()) {
                                settle(claim, claim.notSentResult());
                            }
                        });
        return inTime.future();
    }

    private Future<Claim> claimAtAnyTime(String key, String token, long deadlineNanos) {
        return lease().compose(lease -> create(key, token, lease, deadlineNanos))
                .recover(
                        cause -> {
                            abandon(key, token, ABANDON_CHECKS);
                            return Future.succeededFuture(Claim.refused(key, cause));
                        });
    }

    /** Deletes a claim whose write took effect after its request was refused. */
    private void abandon(String key, String token, int checksLeft) {
        if (checksLeft == 0 || mUnsettled.get() > MAX_UNSETTLED) {
            return;
        }
        mStore.read(key)
                .compose(
                        found ->
                                found.isPresent() && tokenOf(found).equals(token)
                                        ? mStore.delete(key, found.version())
                                        : Future.succeededFuture())
                .onComplete(
                        done -> {
                            int left = done.succeeded() ? checksLeft - 1 : checksLeft;
                            mVertx.setTimer(RETRY_MILLIS * 2, ignored -> abandon(key, token, left));
                        });
    }

    /**
     * Settles a claim after the request has ended.
     *
     * @param claim the claim, not null
     * @param result how the request ended, not null
     */
    void settle(Claim claim, RequestResult result) {
        if (mUnsettled.incrementAndGet() > MAX_UNSETTLED) {
            mUnsettled.decrementAndGet();
            LOGGER.log(Level.WARNING, "claim: left in doubt key=" + claim.key());
            return;
        }
        trySettle(claim, result);
    }

    private void trySettle(Claim claim, RequestResult result) {
        settleOnce(claim, result)
                .onSuccess(ignored -> mUnsettled.decrementAndGet())
                .onFailure(
                        cause -> {
                            if (isConflict(cause)) {
                                mUnsettled.decrementAndGet();
                            } else {
                                mVertx.setTimer(RETRY_MILLIS, ignored -> trySettle(claim, result));
                            }
                        });
    }

    private Future<Void> settleOnce(Claim claim, RequestResult result) {
        if (!result.code().outcome().mayHaveRun()) {
            return mStore.delete(claim.key(), claim.version());
        }
        byte[] value = RecordCodec.encode(settled(claim, result));
        return lease().compose(lease -> mStore.write(claim.key(), claim.version(), value, lease))
                .mapEmpty();
    }

    private static ClaimRecord settled(Claim claim, RequestResult result) {
        ClaimRecord running = ClaimRecord.ofRunning(claim.token());
        if (result.code() != ResultCode.ANSWERED) {
            return running.withState(ClaimRecord.State.LOST);
        }
        MinionResponse answer = result.response();
        if (answer == null || answer.body().length() > MAX_KEPT_BYTES) {
            return running.withState(ClaimRecord.State.DONE_WITHOUT_BODY);
        }
        return new ClaimRecord(
                claim.token(),
                ClaimRecord.State.DONE,
                answer.status(),
                answer.headers().getOrDefault("content-type", ""),
                Base64.getEncoder().encodeToString(answer.body().getBytes()));
    }

    private Future<Claim> create(String key, String token, String lease, long deadlineNanos) {
        byte[] value = RecordCodec.encode(ClaimRecord.ofRunning(token));
        return mStore.write(key, Store.ABSENT, value, lease)
                .map(version -> Claim.held(key, token, version))
                .recover(
                        cause ->
                                isConflict(cause)
                                        ? examine(key, token, lease, deadlineNanos)
                                        : readBack(key, token, cause));
    }

    /** Finds out whether a write took effect whose answer was lost. */
    private Future<Claim> readBack(String key, String token, Throwable cause) {
        return mStore.read(key)
                .compose(
                        found -> {
                            if (found.isPresent() && tokenOf(found).equals(token)) {
                                return Future.succeededFuture(
                                        Claim.held(key, token, found.version()));
                            }
                            return Future.failedFuture(cause);
                        });
    }

    private Future<Claim> examine(String key, String token, String lease, long deadlineNanos) {
        return mStore.read(key)
                .compose(
                        found -> {
                            if (!found.isPresent()) {
                                return create(key, token, lease, deadlineNanos);
                            }
                            ClaimRecord other = decode(found);
                            if (other.token().equals(token)) {
                                return Future.succeededFuture(
                                        Claim.held(key, token, found.version()));
                            }
                            if (other.state() != ClaimRecord.State.RUNNING) {
                                return Future.succeededFuture(Claim.ended(key, other));
                            }
                            return waitForOther(key, token, lease, deadlineNanos);
                        });
    }

    private Future<Claim> waitForOther(String key, String token, String lease, long deadlineNanos) {
        if (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS) > deadlineNanos) {
            return Future.succeededFuture(Claim.inDoubt(key));
        }
        return mVertx.timer(POLL_MILLIS, TimeUnit.MILLISECONDS)
                .compose(ignored -> examine(key, token, lease, deadlineNanos));
    }

    private static String tokenOf(VersionedValue found) {
        return decode(found).token();
    }

    private static ClaimRecord decode(VersionedValue found) {
        return RecordCodec.decode(found.key(), found.value(), ClaimRecord.class);
    }

    private static boolean isConflict(Throwable cause) {
        return cause instanceof EndivetrayException known
                && known.code() == ResultCode.VERSION_CONFLICT;
    }

    /** Returns the lease under which claims are stored, made anew every hour. */
    private synchronized Future<String> lease() {
        long now = System.nanoTime();
        boolean old = now - mLeaseNanos > LEASE_REUSE_NANOS;
        if (mLease == null || mLease.failed() || old) {
            Promise<String> lease = Promise.promise();
            mStore.createLease(mLeaseMillis)
                    .onSuccess(lease::tryComplete)
                    .onFailure(lease::tryFail);
            mVertx.setTimer(LEASE_CALL_MILLIS, ignored -> lease.tryFail(TOO_LATE));
            mLease = lease.future();
            mLeaseNanos = now;
        }
        return mLease;
    }

    /**
     * What came of claiming a key.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param key the stored key, not null
     * @param token the token, null unless the claim is held
     * @param version the claim's version, 0 unless it is held
     * @param result what the caller is told, null if the claim is held
     */
    record Claim(String key, String token, long version, RequestResult result) {
        static Claim held(String key, String token, long version) {
            return new Claim(key, token, version, null);
        }

        static Claim refused(String key, Throwable cause) {
            boolean damaged =
                    cause instanceof EndivetrayException known
                            && known.code() == ResultCode.DAMAGED_RECORD;
            ResultCode code = damaged ? ResultCode.CLAIM_IN_DOUBT : ResultCode.CLAIM_UNAVAILABLE;
            return new Claim(key, null, 0, RequestResult.failed(code, cause.getMessage()));
        }

        static Claim inDoubt(String key) {
            return new Claim(
                    key,
                    null,
                    0,
                    RequestResult.failed(ResultCode.CLAIM_IN_DOUBT, "the key is claimed"));
        }

        static Claim ended(String key, ClaimRecord other) {
            if (other.state() != ClaimRecord.State.DONE) {
                return inDoubt(key);
            }
            Buffer body = Buffer.buffer(Base64.getDecoder().decode(other.body()));
            Map<String, String> headers =
                    other.contentType().isEmpty()
                            ? Map.of()
                            : Map.of("content-type", other.contentType());
            return new Claim(
                    key,
                    null,
                    0,
                    RequestResult.answered(new MinionResponse(other.status(), headers, body)));
        }

        /** Returns the result of a request that was not sent although the claim is held. */
        RequestResult notSentResult() {
            return RequestResult.failed(ResultCode.CLAIM_UNAVAILABLE, "the deadline passed");
        }

        /** Returns whether the caller of {@link IdempotencyClaims#claim} may send the request. */
        boolean isHeld() {
            return token != null;
        }
    }
}
