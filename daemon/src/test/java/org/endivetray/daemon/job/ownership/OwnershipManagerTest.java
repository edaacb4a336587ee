package org.endivetray.daemon.job.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.junit.jupiter.api.Test;

class OwnershipManagerTest {
    private static final Set<String> SHARDS = Set.of("charts", "ice");
    private static final long SETTLE_MILLIS = 400;
    private static final long TICK_MILLIS = 10;

    private final VirtualExecutor mCalls = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mCalls);

    /** One life of a daemon. */
    private final class Life implements OwnershipManager.Listener {
        private final Map<String, Long> mTokens = new TreeMap<>();
        private final OwnershipManager mOwnership;
        private boolean mIsDead;

        private Life(String name, long incarnation) {
            OwnershipWatch watch = new OwnershipWatch(mStore, mCalls, () -> {});
            mOwnership =
                    new OwnershipManager(
                            mStore,
                            mCalls,
                            watch,
                            new OwnershipView.DaemonRecord(
                                    name, "127.0.0.1", 1, incarnation, 750, false),
                            SETTLE_MILLIS,
                            this);
            mOwnership.setWantedShards(SHARDS);
            watch.start();
            mCalls.execute(this::tick);
        }

        private void tick() {
            if (!mIsDead) {
                mOwnership.tick(mCalls.nanoTime());
                mCalls.schedule(TICK_MILLIS, this::tick);
            }
        }

        @Override
        public void onAcquired(String shard, long token) {
            mTokens.put(shard, token);
        }

        @Override
        public void onLost(String shard, String reason) {
            mTokens.remove(shard);
        }

        @Override
        public void onReleaseRequested(String shard) {
            mOwnership.completeRelease(shard, mTokens.remove(shard));
        }
    }

    @Test
    void aDaemonTakesFreeShardsOnceItHasSettled() {
        Life first = new Life("a", 1);
        mCalls.advance(SETTLE_MILLIS / 2);
        assertEquals(Map.of(), first.mTokens);
        mCalls.advance(SETTLE_MILLIS);
        assertEquals(SHARDS, first.mTokens.keySet());
    }

    @Test
    void aDaemonThatStartsAgainTakesItsShardsBackBeforeItsEarlierLeaseEnds() {
        Life first = new Life("a", 1);
        mCalls.advance(2 * SETTLE_MILLIS);
        first.mIsDead = true;
        Life second = new Life("a", 2);
        mCalls.advance(SETTLE_MILLIS / 2);
        assertEquals(SHARDS, second.mTokens.keySet());
        second.mTokens.forEach(
                (shard, token) -> assertTrue(token > first.mTokens.get(shard), shard));
    }

    @Test
    void aDaemonLeavesTheShardsOfAnotherOneAlone() {
        Life first = new Life("a", 1);
        mCalls.advance(2 * SETTLE_MILLIS);
        first.mIsDead = true;
        Life other = new Life("b", 2);
        mCalls.advance(4 * SETTLE_MILLIS);
        assertEquals(Map.of(), other.mTokens);
    }
}
