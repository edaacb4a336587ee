package org.endivetray.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.endivetray.AvailabilityBudget;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.Member;
import org.endivetray.Pool;
import org.endivetray.daemon.Daemon;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetFaultsTest {
    private TestSite mSite;
    private BudgetMonitor mMonitor;

    @BeforeEach
    void startSite() {
        mSite = TestSite.start(3);
        mMonitor = new BudgetMonitor(mSite, "e1");
    }

    @AfterEach
    void stopSite() {
        mMonitor.stop();
        mSite.close();
    }

    private JsonNode plan(String daemon, String id) {
        return mSite.get(daemon, "/v1/plans/" + id);
    }

    private boolean isState(String daemon, String id, String state) {
        return plan(daemon, id).path("state").asText().equals(state);
    }

    private String proposeAndConfirm(String daemon, Intent intent) {
        String id = mSite.propose(daemon, intent).path("id").asText();
        assertThat(mSite.confirm(daemon, id).path("state").asText()).isEqualTo("RUNNING");
        return id;
    }

    private long workersIn(String state) {
        long count = 0;
        for (JsonNode worker : mSite.get("e1", "/v1/workers")) {
            count += worker.path("state").asText().equals(state) ? 1 : 0;
        }
        return count;
    }

    @ParameterizedTest
    @CsvSource({"NONE", "LOSE_ANSWERS", "SLOW", "DOWN"})
    void aWaveOverARackStaysWithinTheBudgetsDuringAStoreFault(String fault) {
        String id = proposeAndConfirm("e1", Intent.of(IntentKind.WAVE, "kochi-r1"));
        mSite.setPlatformFault("store?mode=" + fault + "&millis=150&count=6");
        if (fault.equals("DOWN")) {
            TestSite.pause(2_000);
            mSite.setPlatformFault("store?mode=NONE");
        }
        TestSite.waitFor(() -> isState("e2", id, "DONE"));
        assertThat(workersIn("ACTIVE")).isEqualTo(36);
        mMonitor.assertNoViolations();
    }

    @Test
    void aPlanIsCompletedByAnotherDaemonWhenItsExecutorIsKilled() {
        String id = proposeAndConfirm("e1", Intent.of(IntentKind.WAVE, "charts"));
        TestSite.waitFor(() -> !plan("e1", id).path("executor").asText().isEmpty());
        String executor = plan("e1", id).path("executor").asText();
        mMonitor.stop();
        mSite.kill(executor);
        String other = executor.equals("e1") ? "e2" : "e1";
        BudgetMonitor monitor = new BudgetMonitor(mSite, other);
        TestSite.waitFor(() -> isState(other, id, "DONE"));
        monitor.stop();
        monitor.assertNoViolations();
        assertThat(plan(other, id).path("executor").asText()).isNotEqualTo(executor);
    }

    @Test
    void oneOfTwoConflictingPlansIsConfirmedAndTheRefusalNamesItsOperator() {
        String first =
                mSite.propose("e1", Intent.of(IntentKind.DRAIN_RACK, "kochi-r2"))
                        .path("id")
                        .asText();
        String second =
                mSite.propose("e2", Intent.of(IntentKind.WAVE, "kochi-r2")).path("id").asText();
        TestSite.waitFor(() -> plan("e1", second).has("id") && plan("e2", first).has("id"));
        CompletableFuture<JsonNode> one =
                CompletableFuture.supplyAsync(() -> mSite.confirm("e1", first));
        CompletableFuture<JsonNode> other =
                CompletableFuture.supplyAsync(() -> mSite.confirm("e2", second));
        List<JsonNode> results = List.of(one.join(), other.join());
        long confirmedCount = results.stream().filter(result -> result.has("state")).count();
        assertThat(confirmedCount).isEqualTo(1);
        JsonNode refusedResult =
                results.stream().filter(result -> !result.has("state")).findFirst().orElseThrow();
        assertThat(refusedResult.path("code").asInt()).isIn(2007, 4003, 2006);
        JsonNode refusedAgain = mSite.confirm("e1", one.join().has("state") ? second : first);
        assertThat(refusedAgain.path("code").asInt()).isIn(2007, 2006);
        String winner = one.join().has("state") ? first : second;
        TestSite.waitFor(() -> isState("e1", winner, "DONE"));
        if (refusedAgain.path("code").asInt() == 2007) {
            assertThat(refusedAgain.path("message").asText())
                    .contains("of tester")
                    .contains("kochi-r2");
        }
        mMonitor.assertNoViolations();
    }

    @Test
    void aPlanWhoseBasisChangedIsRefusedAndANewPlanIsNamed() {
        String stale =
                mSite.propose("e1", Intent.of(IntentKind.DRAIN_RACK, "kochi-r2"))
                        .path("id")
                        .asText();
        mSite.runPlan("e1", Intent.of(IntentKind.DRAIN_WORKER, "kochi-w08"));
        JsonNode refused = mSite.confirm("e1", stale);
        assertThat(refused.path("code").asInt()).isEqualTo(2006);
        String message = refused.path("message").asText();
        String newPlan = message.substring(message.lastIndexOf(' ') + 1);
        assertThat(mSite.confirm("e1", newPlan).path("state").asText()).isEqualTo("RUNNING");
        TestSite.waitFor(() -> isState("e1", newPlan, "DONE"));
        assertThat(workersIn("DRAINED")).isEqualTo(4);
    }

    @Test
    void aWaveHaltsWhenItsFirstWorkerDoesNotComeBackAfterItsReboot() {
        mSite.setPlatformFault("reboot?worker=kochi-w04");
        String id = proposeAndConfirm("e1", Intent.of(IntentKind.WAVE, "kochi-r1"));
        TestSite.waitFor(() -> isState("e1", id, "HALTED"));
        assertThat(plan("e1", id).path("note").asText()).contains("kochi-w04");
        assertThat(workersIn("ACTIVE")).isEqualTo(35);
        mMonitor.assertNoViolations();
    }

    @Test
    void aCancelledWaveLeavesEveryWorkerActiveAndNoOutage() {
        String id = proposeAndConfirm("e1", Intent.of(IntentKind.WAVE, "all"));
        TestSite.waitFor(() -> workersIn("REBOOTING") > 0);
        mSite.post("e2", "/v1/plans/" + id + "/cancel", "");
        TestSite.waitFor(() -> isState("e1", id, "CANCELLED"));
        assertThat(workersIn("ACTIVE")).isEqualTo(36);
        for (JsonNode pool : mSite.get("e1", "/v1/pools")) {
            assertThat(pool.path("outages")).isEmpty();
        }
        mMonitor.assertNoViolations();
    }

    @Test
    void lentWorkersServeTheBorrowingPoolAndAreNeverInTwoPools() {
        Intent loan = Intent.ofLoan(2, "support", "charts");
        String id = proposeAndConfirm("e1", loan);
        TestSite.waitFor(() -> isState("e1", id, "DONE"));
        assertThat(mSite.get("e1", "/v1/pools/charts").path("workers").asInt()).isEqualTo(8);
        assertThat(mSite.get("e1", "/v1/pools/support").path("workers").asInt()).isEqualTo(4);
        mMonitor.assertNoViolations();
    }

    @Test
    void aDrainCompletesTheRequestsInFlightAndRoutesNoNewOnes() {
        CompletableFuture<TestSite.Response> inFlight =
                CompletableFuture.supplyAsync(() -> sendLongRequests());
        TestSite.pause(300);
        String id = proposeAndConfirm("e2", Intent.of(IntentKind.DRAIN_RACK, "kochi-r0"));
        TestSite.waitFor(() -> isState("e1", id, "DONE"));
        assertThat(inFlight.join().status()).isEqualTo(200);
        long before = receivedInRack();
        for (int i = 0; i < 60; i++) {
            mSite.call("e" + (i % 3 + 1), "GET", "/s/charts/x?token=n", Map.of());
        }
        assertThat(receivedInRack()).isEqualTo(before);
    }

    private TestSite.Response sendLongRequests() {
        List<CompletableFuture<TestSite.Response>> pending = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            String daemon = "e" + (i % 3 + 1);
            pending.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    mSite.call(
                                            daemon,
                                            "POST",
                                            "/s/charts/x?work=1200&token=n",
                                            Map.of("X-Endivetray-Deadline-Millis", "4000"))));
        }
        List<TestSite.Response> responses = pending.stream().map(CompletableFuture::join).toList();
        assertThat(responses)
                .allSatisfy(response -> assertThat(response.outcome()).isNotEqualTo("unknown"));
        return responses.get(0);
    }

    private long receivedInRack() {
        long received = 0;
        for (int i = 0; i < 4; i++) {
            received += mSite.minionStats().path("receivedByWorker").path("kochi-w0" + i).asLong();
        }
        return received;
    }

    @Test
    void aLeavingHostGetsNoNewRequestsFiveSecondsAfterItIsListed() {
        mSite.setPlatformFault("host?worker=kochi-w00&status=LEAVING");
        TestSite.pause(5_000);
        long before = receivedInRack();
        for (int i = 0; i < 60; i++) {
            mSite.call("e" + (i % 3 + 1), "GET", "/s/charts/x?token=n", Map.of());
        }
        assertThat(receivedInRack()).isEqualTo(before);
    }

    @Test
    void anAcceptedBudgetIsInForceOnEveryDaemonAndDoesNotRevertInAnOutage() {
        Pool pool = Pool.of("extra", AvailabilityBudget.ofFloor(0));
        mSite.runPlan(
                "e1",
                Intent.ofConfiguration(
                        List.of(pool), List.of(new Member("newcomer", 2)), List.of(), Map.of()));
        mSite.setPlatformFault("store?mode=DOWN");
        TestSite.waitFor(() -> !mSite.get("e1", "/v1/status").path("storeUp").asBoolean());
        for (String daemon : List.of("e1", "e2", "e3")) {
            TestSite.waitFor(() -> mSite.get(daemon, "/v1/pools/extra").path("pool").has("name"));
            assertThat(
                            mSite.call(
                                            daemon,
                                            "GET",
                                            "/s/charts/x",
                                            Map.of("X-Endivetray-Member", "newcomer"))
                                    .status())
                    .isEqualTo(200);
        }
    }

    @Test
    void aDaemonThatReachesNoOtherStaysWithinTheMinionSlotLimit() {
        mSite.relay().cut("e1", "e2");
        mSite.relay().cut("e1", "e3");
        TestSite.pause(5_000);
        long refusedBefore = mSite.minionStats().path("overLimit").asLong();
        ExecutorService callers = Executors.newFixedThreadPool(90);
        List<CompletableFuture<TestSite.Response>> pending = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            String daemon = "e" + (i % 3 + 1);
            pending.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    mSite.call(
                                            daemon, "GET", "/s/charts/x?work=50&token=n", Map.of()),
                            callers));
        }
        assertThat(pending).allSatisfy(one -> assertThat(one.join().status()).isEqualTo(200));
        assertThat(mSite.minionStats().path("overLimit").asLong()).isEqualTo(refusedBefore);
        callers.shutdown();
        mSite.relay().restoreLinks();
        TestSite.waitFor(() -> mSite.get("e1", "/v1/status").path("live").size() == 3);
    }

    @Test
    void aDaemonThatStartsInAnOutageGetsTheStateFromItsPeers() {
        mSite.setPlatformFault("store?mode=DOWN");
        TestSite.waitFor(() -> !mSite.get("e1", "/v1/status").path("storeUp").asBoolean());
        Daemon late = mSite.startDaemonWithPeers("e4", "e1", "e2");
        TestSite.waitFor(late::isReady);
        assertThat(mSite.get("e4", "/v1/pools")).hasSize(6);
        TestSite.waitFor(
                () -> mSite.call("e4", "GET", "/s/charts/x?token=n", Map.of()).status() == 200);
        TestSite.waitFor(
                () -> mSite.get("e1", "/v1/status").path("live").toString().contains("e4"));
    }

    @Test
    void aDamagedRecordIsNamedAndLeftAsItIs() {
        mSite.sendToStore("PUT", "/v1/kv?key=fleet/pool/odd&expect=0&lease=", "{\"format\":9}");
        TestSite.waitFor(
                () ->
                        mSite.get("e2", "/v1/status")
                                .path("damaged")
                                .path("fleet/pool/odd")
                                .asText()
                                .contains("has format 9"));
        mSite.runPlan("e1", Intent.of(IntentKind.DRAIN_WORKER, "kochi-w08"));
        assertThat(mSite.sendToStore("GET", "/v1/kv?key=fleet/pool/odd", ""))
                .isEqualTo("{\"format\":9}");
    }

    @Test
    void aPlanProposedInAnOutageIsRefusedWithACodeAndNothingChanges() {
        mSite.setPlatformFault("store?mode=DOWN");
        JsonNode refused = mSite.propose("e1", Intent.of(IntentKind.DRAIN_RACK, "kochi-r3"));
        assertThat(refused.path("code").asInt()).isIn(4001, 4002);
        assertThat(workersIn("ACTIVE")).isEqualTo(36);
    }

    @Test
    void twoDaemonsThatCannotReachEachOtherStayWithinTheMinionSlotLimit() {
        mSite.relay().cut("e1", "e2");
        TestSite.pause(1_500);
        Set<String> failed = new TreeSet<>();
        for (int i = 0; i < 90; i++) {
            TestSite.Response response =
                    mSite.call("e" + (i % 3 + 1), "GET", "/s/charts/x?token=n", Map.of());
            if (response.status() != 200) {
                failed.add(response.body());
            }
        }
        assertThat(failed).isEmpty();
        assertThat(mSite.minionStats().path("maxInFlight").asInt()).isLessThanOrEqualTo(8);
        assertThat(mSite.get("e1", "/v1/status").path("live").toString()).contains("e2");
        String id = proposeAndConfirm("e1", Intent.of(IntentKind.DRAIN_RACK, "kochi-r3"));
        TestSite.waitFor(() -> isState("e2", id, "DONE"));
    }
}
