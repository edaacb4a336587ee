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
    private static final long WAIT_MILLIS = 3_700;

    private final VirtualExecutor mCalls = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mCalls);

    private RecentOrders holder(String name) {
        long version = mStore.put(OWNER_KEY, name.getBytes(StandardCharsets.UTF_8));
        RecentOrders log =
                new RecentOrders(mStore, mCalls, new Condition(OWNER_KEY, version), WAIT_MILLIS);
        log.start();
        mCalls.advance(20);
        return log;
    }

    private Set<String> stored() {
        return RecordCodec.decode(
                        RecentOrders.KEY, mStore.get(RecentOrders.KEY).value(), StoredOrders.class)
                .workers();
    }

    private boolean mayOrder(RecentOrders log, String worker) {
        Future<Void> prepared = log.recordOrder(worker);
        mCalls.advance(50);
        return prepared.succeeded();
    }

    @Test
    void aWorkerIsStoredBeforeItsFirstOrder() {
        RecentOrders log = holder("a");
        Future<Void> prepared = log.recordOrder("w1");
        assertFalse(prepared.isComplete());
        mCalls.advance(20);
        assertTrue(prepared.succeeded());
        assertEquals(Set.of("w1"), stored());
    }

    @Test
    void aNewHolderLeavesAloneWhatTheOneBeforeHasOrderedAndOrdersTheRestAtOnce() {
        assertTrue(mayOrder(holder("a"), "w1"));
        RecentOrders next = holder("b");
        assertFalse(mayOrder(next, "w1"));
        assertTrue(mayOrder(next, "w2"));
        assertEquals(Set.of("w1", "w2"), stored());
        mCalls.advance(WAIT_MILLIS);
        assertTrue(mayOrder(next, "w1"));
    }

    @Test
    void aHolderThatWasReplacedGivesNoFurtherOrder() {
        RecentOrders old = holder("a");
        RecentOrders next = holder("b");
        assertFalse(mayOrder(old, "w1"));
        assertTrue(mayOrder(next, "w1"));
        mCalls.advance(WAIT_MILLIS);
        assertFalse(mayOrder(old, "w2"));
    }

    @Test
    void anOrderOfLongAgoIsForgottenWithTheNextOne() {
        RecentOrders log = holder("a");
        assertTrue(mayOrder(log, "w1"));
        mCalls.advance(WAIT_MILLIS);
        assertTrue(mayOrder(log, "w2"));
        assertEquals(Set.of("w2"), stored());
    }

    @Test
    void anOrderOfAThirdHolderWaitsForWhatTheFirstOneHasOrdered() {
        assertTrue(mayOrder(holder("a"), "w1"));
        assertTrue(mayOrder(holder("b"), "w2"));
        RecentOrders third = holder("c");
        assertFalse(mayOrder(third, "w1"));
        assertFalse(mayOrder(third, "w2"));
    }

    @Test
    void nothingIsOrderedWhileTheStoreIsSilent() {
        RecentOrders log = holder("a");
        mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        Future<Void> prepared = log.recordOrder("w1");
        mCalls.advance(2_000);
        assertFalse(prepared.isComplete());
        mStore.mMode = VirtualStore.Mode.UP;
        mCalls.advance(2_000);
        assertTrue(prepared.succeeded());
    }

    @Test
    void aDamagedRecordMakesTheHolderWaitForAllWorkers() {
        mStore.put(RecentOrders.KEY, "{".getBytes(StandardCharsets.UTF_8));
        RecentOrders log = holder("a");
        assertFalse(mayOrder(log, "w1"));
        mCalls.advance(WAIT_MILLIS);
        assertTrue(mayOrder(log, "w1"));
    }

    @Test
    void anOrderThatWaitedThroughALongOutageIsGivenAndThenNothingIsWrittenAnyMore() {
        RecentOrders log = holder("a");
        mStore.mMode = VirtualStore.Mode.UNRESPONSIVE;
        Future<Void> prepared = log.recordOrder("w1");
        mCalls.advance(2 * WAIT_MILLIS);
        mStore.mMode = VirtualStore.Mode.UP;
        mCalls.advance(2_000);
        assertTrue(prepared.succeeded());
        assertEquals(Set.of("w1"), stored());
        long version = mStore.get(RecentOrders.KEY).version();
        mCalls.advance(1_000);
        assertEquals(version, mStore.get(RecentOrders.KEY).version());
    }

    @Test
    void aWorkerThatIsBeingForgottenIsStoredAgainBeforeItsNextOrder() {
        RecentOrders log = holder("a");
        assertTrue(mayOrder(log, "w1"));
        mCalls.advance(WAIT_MILLIS);
        log.recordOrder("w2");
        Future<Void> again = log.recordOrder("w1");
        assertFalse(again.isComplete());
        mCalls.advance(50);
        assertTrue(again.succeeded());
        assertEquals(Set.of("w1", "w2"), stored());
    }
}
