package org.endivetray.daemon.job.fleet;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivetray.daemon.job.ownership.OwnershipView;
import org.endivetray.daemon.job.ownership.OwnershipView.DaemonRecord;
import org.endivetray.daemon.job.ownership.OwnershipView.ShardOwner;
import org.endivetray.daemon.job.peer.PeerClient;
import org.endivetray.daemon.job.routing.PoolOwnerClient;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.job.WorkerInfo;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.WorkerAdmin;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.DrainReply;
import org.endivetray.wire.gen.MinionGone;

/**
 * Successive fleet owners of pools, which have no jobs unless the test says so, on a virtual clock.
 *
 * <p>This class is not thread-safe.
 */
final class FleetHarness {
    static final long HANDOVER_MILLIS = 3_700;
    private static final String OWNER_KEY = "endivetray/live/owner/@fleet";

    final VirtualExecutor mExecutor = new VirtualExecutor();
    final VirtualStore mStore = new VirtualStore(mExecutor);
    final Orders mAdmin = new Orders();
    final PoolOwner mPoolOwner = new PoolOwner();
    boolean mHasJobs;

    /** The owner of all pools, which answers that every minion is empty and records messages. */
    static final class PoolOwner implements PeerClient {
        private static final DaemonRecord RECORD =
                new DaemonRecord("owner", "127.0.0.1", 1, 1, 1_000, false);

        final List<MinionGone> mTerminated = new ArrayList<>();
        final List<String> mDrained = new ArrayList<>();
        boolean mIsUnresponsive;
        final Map<String, Long> mIncarnations = new HashMap<>();

        static OwnershipView view() {
            return new OwnershipView(
                    1,
                    Map.of(RECORD.name(), RECORD),
                    Map.of("ice", new ShardOwner(RECORD.name(), 1, 1)),
                    Map.of(),
                    Set.of());
        }

        @Override
        public Future<Body> send(DaemonRecord daemon, Body body, long timeoutMillis) {
            if (body.isSetMinionGone()) {
                mTerminated.add(body.getMinionGone());
                return Future.succeededFuture(body);
            }
            if (mIsUnresponsive) {
                return Future.failedFuture("no reply");
            }
            String minion = body.getDrainRequest().getMinion();
            mDrained.add(minion);
            DrainReply reply =
                    new DrainReply(true, true)
                            .setIncarnationMillis(mIncarnations.getOrDefault(minion, 1L));
            return Future.succeededFuture(Body.drainReply(reply));
        }
    }

    /** Records the orders and answers them with the next prepared outcome. */
    static final class Orders implements WorkerAdmin {
        final List<String> mOrdered = new ArrayList<>();
        final List<WorkerOrderOutcome> mOutcomes = new ArrayList<>();
        WorkerOrderOutcome mOtherwise = WorkerOrderOutcome.DONE;

        @Override
        public Future<List<WorkerInfo>> list() {
            throw new UnsupportedOperationException("the test provides the workers");
        }

        @Override
        public Future<WorkerOrderOutcome> move(
                String worker, String pool, String owner, long token) {
            return order(worker);
        }

        @Override
        public Future<WorkerOrderOutcome> startMaintenance(
                String worker, long wave, String owner, long token) {
            return order(worker);
        }

        private Future<WorkerOrderOutcome> order(String worker) {
            mOrdered.add(worker);
            return Future.succeededFuture(mOutcomes.isEmpty() ? mOtherwise : mOutcomes.remove(0));
        }
    }

    /**
     * A fleet owner.
     *
     * @param context its services and settings, not null
     * @param key the owner key and its version, not null
     * @param orders its record of recent orders, not null
     */
    record Owner(FleetContext context, Condition key, RecentOrders orders) {}

    /** Returns a new fleet owner, without stopping the previous one. */
    Owner takeOver(String name) {
        long token = mStore.put(OWNER_KEY, name.getBytes(StandardCharsets.UTF_8));
        Condition key = new Condition(OWNER_KEY, token);
        FleetContext context =
                new FleetContext(
                        name,
                        mStore,
                        mAdmin,
                        new PoolOwnerClient(name, PoolOwner::view, mPoolOwner, null),
                        mExecutor,
                        pool -> mHasJobs,
                        () -> true,
                        HANDOVER_MILLIS);
        RecentOrders orders = new RecentOrders(mStore, mExecutor, key, HANDOVER_MILLIS);
        orders.start();
        return new Owner(context, key, orders);
    }
}
