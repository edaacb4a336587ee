package org.endivetray.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import org.endivetray.daemon.job.ownership.MinionDirectory;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.routing.LocalShards;
import org.endivetray.daemon.job.shard.MemoryUse;
import org.endivetray.daemon.job.shard.ShardContext;
import org.endivetray.daemon.job.shard.ShardLimits;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.MinionOrders;
import org.junit.jupiter.api.Test;

/**
 * Tests which minions a shard knows after this daemon has acquired it.
 *
 * <p>This class is not thread-safe.
 */
class ShardLifecycleTest {
    private static final StoreWatch.Timing TIMING = StoreWatch.Timing.ofSilence(3_000);
    private static final long TICK_MILLIS = 10;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private final LocalShards mLocal = new LocalShards(mExecutor);

    /** Ids of the minions that were asked for a listing. */
    private final Set<String> mAsked = new TreeSet<>();

    private final ShardLifecycle mShards =
            new ShardLifecycle(
                    new ShardContext(
                            mStore,
                            new SilentMinions(),
                            null,
                            mExecutor,
                            new MemoryUse(),
                            () -> true,
                            new JobMetrics(),
                            new ShardLimits(6_000, 100, 120_000, TIMING),
                            () -> ClientAccounts.NONE),
                    mLocal,
                    null,
                    () -> null,
                    this::minions);
    private final MinionDirectory mMinions =
            new MinionDirectory(
                    mStore, mExecutor, TIMING, mShards::hasShards, mShards::onRegistrations);

    private MinionDirectory minions() {
        return mMinions;
    }

    /** Minions that answer no order. */
    private final class SilentMinions implements MinionOrders {
        private final OrderReply mUnknown = new OrderReply(OrderOutcome.UNKNOWN, 0);

        @Override
        public Future<OrderReply> start(MinionInfo minion, StartOrder order) {
            return Future.succeededFuture(mUnknown);
        }

        @Override
        public Future<OrderReply> stop(MinionInfo minion, String task, int run, long token) {
            return Future.succeededFuture(mUnknown);
        }

        @Override
        public Future<OrderReply> throttle(
                MinionInfo minion, String task, int run, int percent, long token) {
            return Future.succeededFuture(mUnknown);
        }

        @Override
        public Future<RunListing> renewRunLeases(MinionInfo minion, LeaseOrder order) {
            mAsked.add(minion.id());
            return Future.succeededFuture(RunListing.failed(OrderOutcome.UNKNOWN));
        }
    }

    private void register(String minion, String pool) {
        String registration =
                "{\"service\":\""
                        + pool
                        + "\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
                        + "\"capacity\":{\"cpu\":8000,\"mem_mb\":64000},\"labels\":[],\"born\":1}";
        mStore.put("servers/" + minion, registration.getBytes(StandardCharsets.UTF_8));
    }

    private void acquire(String pool) {
        long token = mStore.put(JobKeys.OWNER_PREFIX + pool, new byte[] {1});
        mShards.onAcquired(pool, token);
    }

    private void run(long millis) {
        for (long t = 0; t < millis; t += TICK_MILLIS) {
            mExecutor.advance(TICK_MILLIS);
            mMinions.ensureRunning();
            mShards.tick(mExecutor.nanoTime());
        }
    }

    /** Guards against a new owner that starts nothing until a minion changes its registration. */
    @Test
    void aShardThatIsAcquiredBesideAnotherOneKnowsTheRegisteredMinions() {
        register("m1", "alpha");
        register("m2", "beta");
        acquire("alpha");
        run(1_000);
        assertThat(mAsked).containsExactly("m1");
        acquire("beta");
        run(1_000);
        assertThat(mAsked).containsExactly("m1", "m2");
    }

    /** Guards against registrations that were read before the daemon owned no shards for a time. */
    @Test
    void aShardThatIsAcquiredLaterKnowsOnlyTheMinionsThatAreRegisteredThen() {
        register("m1", "alpha");
        register("m2", "beta");
        register("m3", "beta");
        acquire("alpha");
        run(1_000);
        mLocal.remove(mLocal.get("alpha"));
        run(10_000);
        mStore.remove("servers/m2");
        mAsked.clear();
        acquire("beta");
        run(1_000);
        assertThat(mAsked).containsExactly("m3");
    }
}
