package org.endivetray.proof;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.endivetray.Intent;
import org.endivetray.Json;
import org.endivetray.daemon.Daemon;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.standin.HostTable;
import org.endivetray.standin.LinkRelay;
import org.endivetray.standin.Main;
import org.endivetray.standin.MinionStandIn;
import org.endivetray.standin.PlatformStandIn;
import org.endivetray.standin.Site;

/** A site on loopback addresses: stand-ins and daemons in this process, on ephemeral ports. */
final class TestSite implements AutoCloseable {
    private static final long WAIT_SECONDS = 30;

    private final Site mSite = Site.KOCHI;
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final MinionStandIn mMinions = new MinionStandIn(20);
    private final LinkRelay mRelay = new LinkRelay();
    private final Map<String, Integer> mRelayPorts;
    private final PlatformStandIn mPlatform;
    private final int mMinionControl;
    private final int mPlatformPort;
    private final Map<String, Daemon> mDaemons = new TreeMap<>();
    private final Map<String, Daemon.Ports> mPorts = new TreeMap<>();

    TestSite() {
        Map<String, Integer> ports = await(mMinions.start(mSite.hosts(), mSite.services()));
        HostTable.MinionAddresses addresses = MinionStandIn.addresses(ports);
        mMinionControl = await(mMinions.startControl());
        mRelayPorts = await(mRelay.start(List.of("e1", "e2", "e3", "e4")));
        mPlatform =
                new PlatformStandIn(Main.hostsWithMinions(mSite, addresses), addresses, 200, 300);
        mPlatformPort = await(mPlatform.start(0));
    }

    /** Starts a site with the given number of daemons and waits until it is configured. */
    static TestSite start(int daemons) {
        TestSite site = new TestSite();
        for (int i = 1; i <= daemons; i++) {
            site.startDaemon("e" + i);
        }
        site.configure();
        return site;
    }

    Daemon startDaemon(String name) {
        Daemon daemon = new Daemon(settings(name));
        mPorts.put(name, await(daemon.start()));
        mRelay.setTarget(name, mPorts.get(name).inner());
        mDaemons.put(name, daemon);
        return daemon;
    }

    /** Starts a daemon whose settings name the inner addresses of the given peers. */
    Daemon startDaemonWithPeers(String name, String... peers) {
        StringBuilder addresses = new StringBuilder();
        for (String peer : peers) {
            addresses.append("127.0.0.1:").append(mPorts.get(peer).inner()).append(',');
        }
        Daemon daemon =
                new Daemon(settings(name).with(SettingKey.INNER_PEERS, addresses.toString()));
        mPorts.put(name, await(daemon.start()));
        mRelay.setTarget(name, mPorts.get(name).inner());
        mDaemons.put(name, daemon);
        return daemon;
    }

    /** Sends a request to the store of the platform, as another program does. */
    String sendToStore(String method, String uri, String body) {
        return exchangeText("127.0.0.1:" + mPlatformPort, method, uri, body);
    }

    /** Starts a daemon in its own process and waits until it is ready. */
    DaemonProcess startProcess(String name) {
        DaemonProcess process = DaemonProcess.start(settingsText(name));
        mPorts.put(name, process.ports());
        mRelay.setTarget(name, process.ports().inner());
        waitFor(() -> exchangeText(operatorAddress(name), "GET", "/readyz", "").equals("ready\n"));
        return process;
    }

    private Settings settings(String name) {
        return Settings.ofText(settingsText(name));
    }

    private String settingsText(String name) {
        String address = "{\"host\": \"127.0.0.1\", \"port\": " + mPlatformPort + "}";
        return "{\"name\": \""
                + name
                + "\", \"zone\": \"kochi-a\", \"platform\": {\"store\": "
                + address
                + ", \"hosts\": "
                + address
                + ", \"workers\": "
                + address
                + ", \"hostsRefreshMillis\": 200},"
                + " \"membership\": {\"heartbeatMillis\": 200, \"stopLagMillis\": 100},"
                + " \"limits\": {\"maxDeadlineMillis\": 4000},"
                + " \"inner\": {\"advertisedPort\": "
                + mRelayPorts.get(name)
                + "}, \"log\": {\"decisions\": 0}}";
    }

    private void configure() {
        mDaemons.keySet().forEach(name -> waitFor(() -> mDaemons.get(name).isReady()));
        runPlan("e1", mSite.configuration());
        mDaemons.keySet().forEach(name -> waitFor(() -> get(name, "/v1/pools").size() == 6));
        waitFor(() -> call("e1", "GET", "/s/charts/x?token=warm", Map.of()).status() == 200);
    }

    /** Proposes and confirms an intent, waits until its plan is done and returns the plan id. */
    String runPlan(String daemon, Intent intent) {
        String id = propose(daemon, intent).path("id").asText();
        confirm(daemon, id);
        waitFor(() -> get(daemon, "/v1/plans/" + id).path("state").asText().equals("DONE"));
        return id;
    }

    JsonNode propose(String daemon, Intent intent) {
        return post(daemon, "/v1/plans", Json.mapper().valueToTree(intent).toString());
    }

    JsonNode confirm(String daemon, String id) {
        return post(daemon, "/v1/plans/" + id + "/confirm", "");
    }

    String operatorAddress(String daemon) {
        return "127.0.0.1:" + mPorts.get(daemon).operators();
    }

    Daemon daemon(String name) {
        return mDaemons.get(name);
    }

    LinkRelay relay() {
        return mRelay;
    }

    Daemon.Ports ports(String name) {
        return mPorts.get(name);
    }

    /** Sends a request as a caller. */
    Response call(String daemon, String method, String uri, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:" + mPorts.get(daemon).callers() + uri))
                        .timeout(Duration.ofSeconds(WAIT_SECONDS))
                        .method(method, HttpRequest.BodyPublishers.noBody());
        Map<String, String> allHeaders = new TreeMap<>(Map.of("X-Endivetray-Member", "polestar"));
        allHeaders.putAll(headers);
        allHeaders.forEach(request::header);
        HttpResponse<String> response = exchange(request.build());
        return new Response(
                response.statusCode(),
                response.headers().firstValue("X-Endivetray-Outcome").orElse(""),
                response.headers().firstValue("X-Endivetray-Code").orElse(""),
                response.body());
    }

    JsonNode get(String daemon, String uri) {
        return exchangeJson(operatorAddress(daemon), "GET", uri, "");
    }

    JsonNode post(String daemon, String uri, String body) {
        return exchangeJson(operatorAddress(daemon), "POST", uri, body);
    }

    /** Returns the value of a metric without labels. */
    double metric(String daemon, String name) {
        return exchangeText(operatorAddress(daemon), "GET", "/metrics", "")
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .sum();
    }

    void setPlatformFault(String query) {
        exchangeText("127.0.0.1:" + mPlatformPort, "GET", "/fault/" + query, "");
    }

    void setMinionFault(String worker, String kind) {
        exchangeText(
                "127.0.0.1:" + mMinionControl,
                "GET",
                "/fault?worker=" + worker + "&kind=" + kind,
                "");
    }

    JsonNode minionStats() {
        return exchangeJson("127.0.0.1:" + mMinionControl, "GET", "/stats", "");
    }

    private JsonNode exchangeJson(String address, String method, String uri, String body) {
        try {
            return Json.mapper().readTree(exchangeText(address, method, uri, body));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private String exchangeText(String address, String method, String uri, String body) {
        return exchange(
                        HttpRequest.newBuilder(URI.create("http://" + address + uri))
                                .timeout(Duration.ofSeconds(WAIT_SECONDS))
                                .header("X-Endivetray-Operator", "tester")
                                .method(method, HttpRequest.BodyPublishers.ofString(body))
                                .build())
                .body();
    }

    private HttpResponse<String> exchange(HttpRequest request) {
        try {
            return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new AssertionError("no response from " + request.uri(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    /** Waits until the condition holds, with a generous time limit. */
    static void waitFor(BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("condition did not hold within " + WAIT_SECONDS + " s");
            }
            pause(50);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Ends a daemon at once, as a kill does: closes its sockets and completes no pending work. */
    void kill(String name) {
        mDaemons.remove(name).shutdownNow();
    }

    @Override
    public void close() {
        List<Daemon> daemons = new ArrayList<>(mDaemons.values());
        daemons.forEach(daemon -> daemon.shutdownNow());
        mPlatform.stop();
        mMinions.stop();
        mRelay.stop();
    }

    /** A response as received by a caller. */
    record Response(int status, String outcome, String code, String body) {}
}
