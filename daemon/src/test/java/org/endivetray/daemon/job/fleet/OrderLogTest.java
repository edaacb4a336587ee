package org.endivetray.daemon.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.endivetray.daemon.job.record.StoredOrders;
import org.endivetray.daemon.job.virtual.VirtualCalls;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.SharedStore.Condition;
import org.junit.jupiter.api.Test;

class OrderLogTest {
    private static final String OWNER_KEY = "owner";
    private static final long WAIT_MILLIS = 3_700;

    private final VirtualCalls mCalls = new VirtualCalls();
    private final VirtualStore mStore = new VirtualStore(mCalls);

    private OrderLog holder(String name) {
        long version = mStore.put(OWNER_KEY, name.getBytes(StandardCharsets.UTF_8));
        OrderLog log = new OrderLog(mStore, mCalls, new Condition(OWNER_KEY, version), WAIT_MILLIS);
        log.start();
        mCalls.advance(20);
        return log;
    }

    private Set<String> stored() {
        return RecordCodec.decode(
                        OrderLog.KEY, mStore.get(OrderLog.KEY).value(), StoredOrders.class)
                .workers();
    }

    private boolean mayOrder(OrderLog log, String worker) {
        Future<Void> prepared = log.prepare(worker);
        mCalls.advance(50);
        return prepared.succeeded();
    }

    @Test
    void aWorkerIsStoredBeforeItsFirstOrder() {
        OrderLog log = holder("a");
        Future<Void> prepared = log.prepare("w1");
        assertFalse(prepared.isComplete());
        mCalls.advance(20);
        assertTrue(prepared.succeeded());
        assertEquals(Set.of("w1"), stored());
    }

    @Test
    void aNewHolderLeavesAloneWhatTheOneBeforeHasOrderedAndOrdersTheRestAtOnce() {
        assertTrue(mayOrder(holder("a"), "w1"));
        OrderLog next = holder("b");
        assertFalse(mayOrder(next, "w1"));
        assertTrue(mayOrder(next, "w2"));
        assertEquals(Set.of("w1", "w2"), stored());
        mCalls.advance(WAIT_MILLIS);
        assertTrue(mayOrder(next, "w1"));
    }

    @Test
    void aHolderThatWasReplacedGivesNoFurtherOrder() {
        OrderLog old = holder("a");
        OrderLog next = holder("b");
        assertFalse(mayOrder(old, "w1"));
        assertTrue(mayOrder(next, "w1"));
        mCalls.advance(WAIT_MILLIS);
        assertFalse(mayOrder(old, "w2"));
    }

    @Test
    void anOrderOfLongAgoIsForgottenWithTheNextOne() {
        OrderLog log = holder("a");
        assertTrue(mayOrder(log, "w1"));
        mCalls.advance(WAIT_MILLIS);
        assertTrue(mayOrder(log, "w2"));
        assertEquals(Set.of("w2"), stored());
    }

    @Test
    void anOrderOfAThirdHolderWaitsForWhatTheFirstOneHasOrdered() {
        assertTrue(mayOrder(holder("a"), "w1"));
        assertTrue(mayOrder(holder("b"), "w2"));
        OrderLog third = holder("c");
        assertFalse(mayOrder(third, "w1"));
        assertFalse(mayOrder(third, "w2"));
    }

    @Test
    void nothingIsOrderedWhileTheStoreIsSilent() {
        OrderLog log = holder("a");
        mStore.mMode = VirtualStore.Mode.SILENT;
        Future<Void> prepared = log.prepare("w1");
        mCalls.advance(2_000);
        assertFalse(prepared.isComplete());
        mStore.mMode = VirtualStore.Mode.UP;
        mCalls.advance(2_000);
        assertTrue(prepared.succeeded());
    }

    @Test
    void aDamagedRecordMakesTheHolderWaitForAllWorkers() {
        mStore.put(OrderLog.KEY, "{".getBytes(StandardCharsets.UTF_8));
        OrderLog log = holder("a");
        assertFalse(mayOrder(log, "w1"));
        mCalls.advance(WAIT_MILLIS);
        assertTrue(mayOrder(log, "w1"));
    }

    @Test
    void anOrderThatWaitedThroughALongOutageIsGivenAndThenNothingIsWrittenAnyMore() {
        OrderLog log = holder("a");
        mStore.mMode = VirtualStore.Mode.SILENT;
        Future<Void> prepared = log.prepare("w1");
        mCalls.advance(2 * WAIT_MILLIS);
        mStore.mMode = VirtualStore.Mode.UP;
        mCalls.advance(2_000);
        assertTrue(prepared.succeeded());
        assertEquals(Set.of("w1"), stored());
        long version = mStore.get(OrderLog.KEY).version();
        mCalls.advance(1_000);
        assertEquals(version, mStore.get(OrderLog.KEY).version());
    }

    @Test
    void aWorkerThatIsBeingForgottenIsStoredAgainBeforeItsNextOrder() {
        OrderLog log = holder("a");
        assertTrue(mayOrder(log, "w1"));
        mCalls.advance(WAIT_MILLIS);
        log.prepare("w2");
        Future<Void> again = log.prepare("w1");
        assertFalse(again.isComplete());
        mCalls.advance(50);
        assertTrue(again.succeeded());
        assertEquals(Set.of("w1", "w2"), stored());
    }
}
