package org.endivetray.daemon.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.endivetray.daemon.job.record.StoredOrders;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore.Condition;
import org.junit.jupiter.api.Test;

class RecentOrdersTest {
    private static final String OWNER_KEY = "owner";
    private static final long HANDOVER_MILLIS = 3_700;

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);

    private RecentOrders newOwner(String name) {
        long version = mStore.put(OWNER_KEY, name.getBytes(StandardCharsets.UTF_8));
        RecentOrders orders =
                new RecentOrders(
                        mStore, mExecutor, new Condition(OWNER_KEY, version), HANDOVER_MILLIS);
        orders.start();
        mExecutor.advance(20);
        return orders;
    }

    private Set<String> stored() {
        return RecordCodec.decode(
                        RecentOrders.KEY, mStore.get(RecentOrders.KEY).value(), StoredOrders.class)
                .workers();
    }

    private boolean tryRecordOrder(RecentOrders orders, String worker) {
        Future<Void> recorded = orders.recordOrder(worker);
        mExecutor.advance(50);
        return recorded.succeeded();
    }

    @Test
    void aWorkerIsStoredBeforeItsFirstOrder() {
        RecentOrders orders = newOwner("a");
        Future<Void> recorded = orders.recordOrder("w1");
        assertFalse(recorded.isComplete());
        mExecutor.advance(20);
        assertTrue(recorded.succeeded());
        assertEquals(Set.of("w1"), stored());
    }

    @Test
    void aNewOwnerDelaysOrdersOnlyToWorkersThatThePreviousOwnerOrdered() {
        assertTrue(tryRecordOrder(newOwner("a"), "w1"));
        RecentOrders next = newOwner("b");
        assertFalse(tryRecordOrder(next, "w1"));
        assertTrue(tryRecordOrder(next, "w2"));
        assertEquals(Set.of("w1", "w2"), stored());
        mExecutor.advance(HANDOVER_MILLIS);
        assertTrue(tryRecordOrder(next, "w1"));
    }

    @Test
    void anOwnerThatHasBeenReplacedGivesNoFurtherOrders() {
        RecentOrders old = newOwner("a");
        RecentOrders next = newOwner("b");
        assertFalse(tryRecordOrder(old, "w1"));
        assertTrue(tryRecordOrder(next, "w1"));
        mExecutor.advance(HANDOVER_MILLIS);
        assertFalse(tryRecordOrder(old, "w2"));
    }

    @Test
    void anExpiredOrderIsRemovedWhenTheNextOneIsStored() {
        RecentOrders orders = newOwner("a");
        assertTrue(tryRecordOrder(orders, "w1"));
        mExecutor.advance(HANDOVER_MILLIS);
        assertTrue(tryRecordOrder(orders, "w2"));
        assertEquals(Set.of("w2"), stored());
    }

    @Test
    void aThirdOwnerDelaysOrdersToWorkersOfBothEarlierOwners() {
        assertTrue(tryRecordOrder(newOwner("a"), "w1"));
        assertTrue(tryRecordOrder(newOwner("b"), "w2"));
        RecentOrders third = newOwner("c");
        assertFalse(tryRecordOrder(third, "w1"));
        assertFalse(tryRecordOrder(third, "w2"));
    }

    @Test
    void anOrderIsNotGivenUntilAnUnresponsiveStoreHasRecovered() {
        RecentOrders orders = newOwner("a");
        mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        Future<Void> recorded = orders.recordOrder("w1");
        mExecutor.advance(2_000);
        assertFalse(recorded.isComplete());
        mStore.mMode = VirtualStore.Mode.UP;
        mExecutor.advance(2_000);
        assertTrue(recorded.succeeded());
    }

    @Test
    void aDamagedRecordDelaysOrdersToAllWorkersUntilTheHandoverTimeHasPassed() {
        mStore.put(RecentOrders.KEY, "{".getBytes(StandardCharsets.UTF_8));
        RecentOrders orders = newOwner("a");
        assertFalse(tryRecordOrder(orders, "w1"));
        mExecutor.advance(HANDOVER_MILLIS);
        assertTrue(tryRecordOrder(orders, "w1"));
    }

    @Test
    void anOrderPendingThroughALongOutageIsGivenAndThenNothingMoreIsWritten() {
        RecentOrders orders = newOwner("a");
        mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        Future<Void> recorded = orders.recordOrder("w1");
        mExecutor.advance(2 * HANDOVER_MILLIS);
        mStore.mMode = VirtualStore.Mode.UP;
        mExecutor.advance(2_000);
        assertTrue(recorded.succeeded());
        assertEquals(Set.of("w1"), stored());
        long version = mStore.get(RecentOrders.KEY).version();
        mExecutor.advance(1_000);
        assertEquals(version, mStore.get(RecentOrders.KEY).version());
    }

    @Test
    void aWorkerIsStoredAgainBeforeItsNextOrderWhileItsRemovalIsInFlight() {
        RecentOrders orders = newOwner("a");
        assertTrue(tryRecordOrder(orders, "w1"));
        mExecutor.advance(HANDOVER_MILLIS);
        orders.recordOrder("w2");
        Future<Void> again = orders.recordOrder("w1");
        assertFalse(again.isComplete());
        mExecutor.advance(50);
        assertTrue(again.succeeded());
        assertEquals(Set.of("w1", "w2"), stored());
    }

    @Test
    void anExpiredOrderIsRemovedFromTheRecordAlthoughNoOtherOrderFollows() {
        RecentOrders orders = newOwner("a");
        assertTrue(tryRecordOrder(orders, "w1"));
        mExecutor.advance(2 * HANDOVER_MILLIS);
        assertEquals(Set.of(), stored());
        assertTrue(tryRecordOrder(newOwner("b"), "w1"));
    }
}
