package org.endivetray.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.endivetray.standin.ResponseBodies;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class RequestEdgeCasesTest {
    private static final int LARGE_RESPONSE_BYTES = 3_000_000;

    private static TestSite sSite;

    @BeforeAll
    static void startSite() {
        sSite = TestSite.start(2);
    }

    @AfterAll
    static void stopSite() {
        sSite.close();
    }

    @AfterEach
    void clearFaults() {
        sSite.setMinionFault("", "NONE");
        TestSite.waitFor(() -> sSite.call("e1", "GET", "/s/routes/x", Map.of()).status() == 200);
    }

    private static Socket connect() throws Exception {
        Socket socket = new Socket("127.0.0.1", sSite.ports("e1").callers());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    @Test
    void aLargeResponseIsForwardedWhole() {
        TestSite.Response response =
                sSite.call(
                        "e1",
                        "GET",
                        "/s/charts/x?token=big&bytes=" + LARGE_RESPONSE_BYTES,
                        Map.of());
        assertThat(response.body())
                .isEqualTo(ResponseBodies.of("charts", "big", LARGE_RESPONSE_BYTES));
    }

    @Test
    void aSlowReaderGetsTheWholeResponse() throws Exception {
        try (Socket socket = connect()) {
            socket.setReceiveBufferSize(65_536);
            write(
                    socket,
                    "GET /s/charts/x?token=slow&bytes="
                            + LARGE_RESPONSE_BYTES
                            + " HTTP/1.1\r\nHost: x\r\nX-Endivetray-Member: polestar\r\n"
                            + "Connection: close\r\n\r\n");
            TestSite.pause(1_000);
            String text =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(text).endsWith("end slow\n");
            assertThat(text.length()).isGreaterThan(LARGE_RESPONSE_BYTES);
        }
    }

    @Test
    void aTruncatedLargeResponseIsNeverReportedAsComplete() throws Exception {
        sSite.setMinionFault("", "TRUNCATE");
        try (Socket socket = connect()) {
            write(
                    socket,
                    "GET /s/charts/x?token=cut&bytes="
                            + LARGE_RESPONSE_BYTES
                            + " HTTP/1.1\r\nHost: x\r\nX-Endivetray-Member: polestar\r\n\r\n");
            InputStream in = socket.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(text).contains("content-length: ");
            String length = text.replaceAll("(?s).*content-length: (\\d+).*", "$1");
            int bodyStart = text.indexOf("\r\n\r\n") + 4;
            assertThat(text.length() - bodyStart).isLessThan(Integer.parseInt(length));
        }
    }

    @Test
    void aRequestHeadThatDoesNotArriveInTimeClosesTheConnection() throws Exception {
        try (Socket socket = connect()) {
            write(socket, "GET /s/charts/x HTTP/1.1\r\nHost: x\r\n");
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void aBodyThatDoesNotArriveInTimeGetsAnErrorCode() throws Exception {
        try (Socket socket = connect()) {
            write(
                    socket,
                    "POST /s/charts/x HTTP/1.1\r\nHost: x\r\nX-Endivetray-Member: polestar\r\n"
                            + "Content-Length: 100\r\n\r\nhalf");
            byte[] response = socket.getInputStream().readNBytes(200);
            assertThat(new String(response, StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 400")
                    .containsIgnoringCase("X-Endivetray-Code: 1001");
        }
    }

    @Test
    void aCallerThatDisconnectsWhileSendingItsBodyLeavesNoOpenRequest() throws Exception {
        try (Socket socket = connect()) {
            write(
                    socket,
                    "POST /s/charts/x HTTP/1.1\r\nHost: x\r\nX-Endivetray-Member: polestar\r\n"
                            + "Content-Length: 100\r\n\r\nhalf");
            TestSite.waitFor(() -> sSite.metric("e1", "endivetray_requests_open") > 0);
        }
        TestSite.waitFor(() -> sSite.metric("e1", "endivetray_requests_open") == 0);
    }

    @Test
    void bytesThatAreNotHttpGetAnErrorCode() throws Exception {
        try (Socket socket = connect()) {
            write(socket, "\u0001\u0002 nonsense\r\n\r\n");
            byte[] response = socket.getInputStream().readNBytes(120);
            assertThat(new String(response, StandardCharsets.US_ASCII))
                    .contains("400")
                    .containsIgnoringCase("X-Endivetray-Code: 1001");
        }
    }

    @Test
    void theSlotsOfDisconnectedCallersAreFreedForOthers() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket socket = connect();
            write(
                    socket,
                    "GET /s/routes/x?token=gone&work=4000 HTTP/1.1\r\nHost: x\r\n"
                            + "X-Endivetray-Member: polestar\r\n\r\n");
            sockets.add(socket);
        }
        TestSite.pause(800);
        long cancelledBefore = sSite.minionStats().path("cancelled").asLong();
        for (Socket socket : sockets) {
            socket.close();
        }
        TestSite.Response response =
                sSite.call(
                        "e1",
                        "GET",
                        "/s/routes/x?token=next",
                        Map.of("X-Endivetray-Deadline-Millis", "1500"));
        assertThat(response.status()).as(response.body()).isEqualTo(200);
        TestSite.waitFor(
                () -> sSite.minionStats().path("cancelled").asLong() > cancelledBefore + 30);
    }

    @Test
    void aMemberWithManyRequestsDoesNotDelayAnotherMember() {
        ExecutorService callers = Executors.newFixedThreadPool(200);
        List<CompletableFuture<TestSite.Response>> responses = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            responses.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    sSite.call(
                                            "e1",
                                            "GET",
                                            "/s/passages/x?token=f&work=400",
                                            Map.of("X-Endivetray-Member", "harbourline")),
                            callers));
        }
        TestSite.pause(300);
        long startNanos = System.nanoTime();
        TestSite.Response response =
                sSite.call("e1", "GET", "/s/passages/x?token=m&work=400", Map.of());
        long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertThat(response.status()).as(response.body()).isEqualTo(200);
        int answeredCount =
                responses.stream().mapToInt(one -> one.join().status() == 200 ? 1 : 0).sum();
        assertThat(answeredCount).isGreaterThan(100);
        assertThat(tookMillis)
                .as("waits for a slot, not for all requests of the other member")
                .isLessThan(1_500);
        callers.shutdown();
    }
}
