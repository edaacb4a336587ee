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
 * once, however often it is sent and whichever daemon receives it.
 *
 * <p>A key is claimed by a create-if-absent write before the request is sent. When the request has
 * ended, its claim is settled: the response is stored with the claim and returned for later
 * requests with the key; the claim of a request that certainly did not run is deleted; a claim
 * whose outcome is unknown, or whose response is too long to store, is kept, and later requests
 * with the key fail with {@link ResultCode#CLAIM_IN_DOUBT}.
 *
 * <p>Invariants: a request with a key is sent only by the holder of its claim's token.
 *
 * <p>This class is thread-safe.
 */
final class IdempotencyClaims {
    private static final Logger LOGGER = System.getLogger(IdempotencyClaims.class.getName());
    private static final long POLL_MILLIS = 100;
    private static final long RETRY_MILLIS = 500;
    private static final int MAX_PENDING_SETTLEMENTS = 10_000;
    private static final int LATE_WRITE_CHECKS = 3;
    private static final EndivetrayException STORE_TIMEOUT =
            new EndivetrayException(
                    ResultCode.CLAIM_UNAVAILABLE, "the store did not answer in time");
    private static final long LEASE_REUSE_NANOS = TimeUnit.HOURS.toNanos(1);

    /**
     * Timeout of a call for a lease, in milliseconds.
     *
     * <p>It is about as long as a caller waits. All claims share the call, so one that is never
     * answered must not block later claims.
     */
    private static final long LEASE_CALL_TIMEOUT_MILLIS = 3_000;

    private static final int MAX_STORED_BODY_BYTES = 32 * 1024;

    private final Vertx mVertx;
    private final Store mStore;
    private final long mLeaseMillis;
    private final AtomicInteger mPendingSettlements = new AtomicInteger();
    private Future<String> mLease;
    private long mLeaseCreatedNanos;

    /**
     * Constructs the claims.
     *
     * @param vertx the event loops, not null
     * @param store the platform's store, not null
     * @param claimHours minimum time for which a claim is kept, in hours
     */
    IdempotencyClaims(Vertx vertx, Store store, int claimHours) {
        mVertx = vertx;
        mStore = store;
        mLeaseMillis = TimeUnit.HOURS.toMillis(claimHours + 1L);
    }

    /** Returns the store key of the claim of a caller's idempotency key. */
    static String keyOf(String service, String member, String key) {
        return StateKeys.CLAIM
                + service
                + "/"
                + member
                + "/"
                + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    /**
     * Claims a key, or determines the result of the request that has claimed it.
     *
     * @param key the store key, not null
     * @param deadlineNanos time until which to wait for the store and for the request that has
     *     claimed the key, on the monotonic clock, in nanoseconds
     * @return the claim, held or with the result for the caller; never fails
     */
    Future<Claim> claim(String key, long deadlineNanos) {
        String token = UUID.randomUUID().toString();
        Promise<Claim> claimPromise = Promise.promise();
        long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        long timer =
                mVertx.setTimer(
                        Math.max(1, timeoutMillis),
                        ignored -> claimPromise.tryComplete(Claim.refused(key, STORE_TIMEOUT)));
        claimWithoutTimeout(key, token, deadlineNanos)
                .onSuccess(
                        claim -> {
                            mVertx.cancelTimer(timer);
                            if (!claimPromise.tryComplete(claim) && claim.isHeld()) {
                                settle(claim, claim.notSentResult());
                            }
                        });
        return claimPromise.future();
    }

    private Future<Claim> claimWithoutTimeout(String key, String token, long deadlineNanos) {
        return lease().compose(lease -> create(key, token, lease, deadlineNanos))
                .recover(
                        cause -> {
                            deleteLateWrite(key, token, LATE_WRITE_CHECKS);
                            return Future.succeededFuture(Claim.refused(key, cause));
                        });
    }

    /** Reads the key repeatedly and deletes the claim if its write took effect late. */
    private void deleteLateWrite(String key, String token, int checksLeft) {
        if (checksLeft == 0 || mPendingSettlements.get() > MAX_PENDING_SETTLEMENTS) {
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
                            int checksRemaining = done.succeeded() ? checksLeft - 1 : checksLeft;
                            mVertx.setTimer(
                                    RETRY_MILLIS * 2,
                                    ignored -> deleteLateWrite(key, token, checksRemaining));
                        });
    }

    /**
     * Settles a claim after its request has ended.
     *
     * @param claim the claim, not null
     * @param result the result of the request, not null
     */
    void settle(Claim claim, RequestResult result) {
        if (mPendingSettlements.incrementAndGet() > MAX_PENDING_SETTLEMENTS) {
            mPendingSettlements.decrementAndGet();
            LOGGER.log(
                    Level.WARNING,
                    "claim: not settled because too many settlements are pending key="
                            + claim.key());
            return;
        }
        trySettle(claim, result);
    }

    private void trySettle(Claim claim, RequestResult result) {
        settleOnce(claim, result)
                .onSuccess(ignored -> mPendingSettlements.decrementAndGet())
                .onFailure(
                        cause -> {
                            if (isConflict(cause)) {
                                mPendingSettlements.decrementAndGet();
                            } else {
                                mVertx.setTimer(RETRY_MILLIS, ignored -> trySettle(claim, result));
                            }
                        });
    }

    private Future<Void> settleOnce(Claim claim, RequestResult result) {
        if (!result.code().outcome().mayHaveRun()) {
            return mStore.delete(claim.key(), claim.version());
        }
        byte[] value = RecordCodec.encode(settledRecord(claim, result));
        return lease().compose(lease -> mStore.write(claim.key(), claim.version(), value, lease))
                .mapEmpty();
    }

    private static ClaimRecord settledRecord(Claim claim, RequestResult result) {
        ClaimRecord running = ClaimRecord.ofRunning(claim.token());
        if (result.code() != ResultCode.ANSWERED) {
            return running.withState(ClaimRecord.State.LOST);
        }
        MinionResponse minionResponse = result.response();
        if (minionResponse == null || minionResponse.body().length() > MAX_STORED_BODY_BYTES) {
            return running.withState(ClaimRecord.State.DONE_WITHOUT_BODY);
        }
        return new ClaimRecord(
                claim.token(),
                ClaimRecord.State.DONE,
                minionResponse.status(),
                minionResponse.headers().getOrDefault("content-type", ""),
                Base64.getEncoder().encodeToString(minionResponse.body().getBytes()));
    }

    private Future<Claim> create(String key, String token, String lease, long deadlineNanos) {
        byte[] value = RecordCodec.encode(ClaimRecord.ofRunning(token));
        return mStore.write(key, Store.ABSENT, value, lease)
                .map(version -> Claim.held(key, token, version))
                .recover(
                        cause ->
                                isConflict(cause)
                                        ? resolveConflict(key, token, lease, deadlineNanos)
                                        : readBack(key, token, cause));
    }

    /** Determines whether a write whose reply was lost took effect. */
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

    private Future<Claim> resolveConflict(
            String key, String token, String lease, long deadlineNanos) {
        return mStore.read(key)
                .compose(
                        found -> {
                            if (!found.isPresent()) {
                                return create(key, token, lease, deadlineNanos);
                            }
                            ClaimRecord existing = decode(found);
                            if (existing.token().equals(token)) {
                                return Future.succeededFuture(
                                        Claim.held(key, token, found.version()));
                            }
                            if (existing.state() != ClaimRecord.State.RUNNING) {
                                return Future.succeededFuture(Claim.ofRecord(key, existing));
                            }
                            return pollExistingClaim(key, token, lease, deadlineNanos);
                        });
    }

    private Future<Claim> pollExistingClaim(
            String key, String token, String lease, long deadlineNanos) {
        if (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS) > deadlineNanos) {
            return Future.succeededFuture(Claim.inDoubt(key));
        }
        return mVertx.timer(POLL_MILLIS, TimeUnit.MILLISECONDS)
                .compose(ignored -> resolveConflict(key, token, lease, deadlineNanos));
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

    /**
     * Returns the lease under which claims are stored, which is replaced every hour.
     *
     * <p>It lives an hour longer than a claim must be kept, because the last claim stored under it
     * may be an hour younger than the lease.
     */
    private synchronized Future<String> lease() {
        long now = System.nanoTime();
        boolean replacementDue = now - mLeaseCreatedNanos > LEASE_REUSE_NANOS;
        if (mLease == null || mLease.failed() || replacementDue) {
            Promise<String> lease = Promise.promise();
            mStore.createLease(mLeaseMillis)
                    .onSuccess(lease::tryComplete)
                    .onFailure(lease::tryFail);
            mVertx.setTimer(LEASE_CALL_TIMEOUT_MILLIS, ignored -> lease.tryFail(STORE_TIMEOUT));
            mLease = lease.future();
            mLeaseCreatedNanos = now;
        }
        return mLease;
    }

    /**
     * The outcome of an attempt to claim a key.
     *
     * <p>This class is immutable and thread-safe.
     *
     * @param key the store key, not null
     * @param token the token of the claim, null unless the claim is held
     * @param version the version of the stored claim, 0 unless the claim is held
     * @param result the result for the caller, null if the claim is held
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
                    RequestResult.failed(
                            ResultCode.CLAIM_IN_DOUBT,
                            "the key was claimed by another request; its response is not stored"));
        }

        static Claim ofRecord(String key, ClaimRecord existing) {
            if (existing.state() != ClaimRecord.State.DONE) {
                return inDoubt(key);
            }
            Buffer body = Buffer.buffer(Base64.getDecoder().decode(existing.body()));
            Map<String, String> headers =
                    existing.contentType().isEmpty()
                            ? Map.of()
                            : Map.of("content-type", existing.contentType());
            return new Claim(
                    key,
                    null,
                    0,
                    RequestResult.answered(new MinionResponse(existing.status(), headers, body)));
        }

        /** Returns the result of a request that was not sent although the claim is held. */
        RequestResult notSentResult() {
            return RequestResult.failed(
                    ResultCode.CLAIM_UNAVAILABLE, "the deadline passed before the key was claimed");
        }

        /** Returns whether the caller of {@link IdempotencyClaims#claim} may send the request. */
        boolean isHeld() {
            return token != null;
        }
    }
}
