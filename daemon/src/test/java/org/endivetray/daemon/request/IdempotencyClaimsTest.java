package org.endivetray.daemon.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivetray.platform.Store;
import org.endivetray.platform.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class IdempotencyClaimsTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final long DEADLINE_MILLIS = 500;
    private static final int MAX_LATER_CLAIMS = 40;

    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void closeVertx() {
        mVertx.close();
    }

    /** A store that never answers the first call for a lease and grants everything else. */
    private static final class FirstLeaseHangsStore implements Store {
        private final AtomicInteger mLeaseCalls = new AtomicInteger();

        @Override
        public Future<VersionedValue> read(String key) {
            return Future.succeededFuture(VersionedValue.absent(key));
        }

        @Override
        public Future<Range> list(String prefix) {
            return Future.failedFuture("not used");
        }

        @Override
        public Future<Long> write(String key, long expected, byte[] value, String lease) {
            return Future.succeededFuture(1L);
        }

        @Override
        public Future<Void> delete(String key, long expected) {
            return Future.succeededFuture();
        }

        @Override
        public Future<String> createLease(long ttlMillis) {
            return mLeaseCalls.incrementAndGet() == 1
                    ? Promise.<String>promise().future()
                    : Future.succeededFuture("lease");
        }

        @Override
        public Future<Void> renewLease(String lease) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> endLease(String lease) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Range> watch(String prefix, long afterRevision, long waitMillis) {
            return Future.failedFuture("not used");
        }
    }

    private static boolean claimIsHeld(IdempotencyClaims claims, String key, long millis)
            throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        return claims.claim(key, deadline)
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .isHeld();
    }

    /**
     * All claims share the call for a lease, so one without a timeout would block every later one.
     */
    @Test
    void aLeaseCallThatIsNeverAnsweredDoesNotBlockLaterClaims() throws Exception {
        IdempotencyClaims claims = new IdempotencyClaims(mVertx, new FirstLeaseHangsStore(), 1);
        assertFalse(claimIsHeld(claims, "first", DEADLINE_MILLIS));
        boolean laterClaimHeld = false;
        for (int i = 0; i < MAX_LATER_CLAIMS && !laterClaimHeld; i++) {
            laterClaimHeld = claimIsHeld(claims, "later" + i, DEADLINE_MILLIS);
        }
        assertTrue(laterClaimHeld);
    }
}
