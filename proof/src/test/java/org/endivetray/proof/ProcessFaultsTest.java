package org.endivetray.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ProcessFaultsTest {
    private final ExecutorService mCallers = Executors.newFixedThreadPool(40);
    private TestSite mSite;
    private DaemonProcess mProcess;

    @BeforeEach
    void startSite() {
        mSite = TestSite.start(2);
        mProcess = mSite.startProcess("e3");
        TestSite.waitFor(() -> mSite.get("e1", "/v1/status").path("live").size() == 3);
        TestSite.waitFor(() -> mSite.call("e3", "GET", "/s/charts/x", Map.of()).status() == 200);
    }

    @AfterEach
    void stopSite() {
        mProcess.close();
        mSite.close();
        mCallers.shutdownNow();
    }

    private List<CompletableFuture<TestSite.Response>> send(int count, String daemon, int work) {
        List<CompletableFuture<TestSite.Response>> responses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            responses.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    mSite.call(
                                            daemon,
                                            "GET",
                                            "/s/charts/x?token=n&work=" + work,
                                            Map.of()),
                            mCallers));
        }
        return responses;
    }

    private long receivedBy(String worker) {
        return mSite.minionStats().path("receivedByWorker").path(worker).asLong();
    }

    @Test
    void aDaemonThatWasFrozenWhileHostsLeftSendsThemNoRequestsWhenItResumes() {
        mProcess.freeze();
        mSite.setPlatformFault("host?worker=kochi-w00&status=LEAVING");
        JsonNode plan = mSite.propose("e1", Intent.of(IntentKind.DRAIN_WORKER, "kochi-w06"));
        mSite.confirm("e1", plan.path("id").asText());
        TestSite.pause(6_000);
        long receivedByLeaving = receivedBy("kochi-w00");
        long receivedByDrained = receivedBy("kochi-w06");
        List<CompletableFuture<TestSite.Response>> waiting = send(30, "e3", 20);
        TestSite.pause(300);
        mProcess.resume();
        waiting.addAll(send(60, "e3", 20));
        assertThat(waiting).allSatisfy(one -> assertThat(one.join().code()).isNotEmpty());
        assertThat(receivedBy("kochi-w00")).isEqualTo(receivedByLeaving);
        assertThat(receivedBy("kochi-w06")).isEqualTo(receivedByDrained);
        TestSite.waitFor(() -> mSite.call("e3", "GET", "/s/charts/x", Map.of()).status() == 200);
        String id = plan.path("id").asText();
        TestSite.waitFor(
                () -> mSite.get("e1", "/v1/plans/" + id).path("state").asText().equals("DONE"));
    }

    @Test
    void aGracefulStopUnderLoadCompletesTheRequestsInFlightAndExitsWithZero() {
        List<CompletableFuture<TestSite.Response>> inFlight = send(30, "e3", 800);
        TestSite.pause(300);
        assertThat(mProcess.stop()).isZero();
        assertThat(inFlight)
                .allSatisfy(
                        one -> {
                            assertThat(one.join().outcome()).isEqualTo("answered");
                            assertThat(one.join().status()).isEqualTo(200);
                        });
        TestSite.waitFor(() -> mSite.get("e1", "/v1/status").path("present").size() == 2);
    }

    @Test
    void aPlanCompletesWhileADaemonStaysFrozen() {
        mProcess.freeze();
        JsonNode plan = mSite.propose("e1", Intent.of(IntentKind.WAVE, "kochi-r4"));
        String id = plan.path("id").asText();
        mSite.confirm("e1", id);
        TestSite.waitFor(
                () -> mSite.get("e1", "/v1/plans/" + id).path("state").asText().equals("DONE"));
        mProcess.resume();
        TestSite.waitFor(() -> mSite.get("e3", "/v1/status").path("ready").asBoolean());
    }
}
