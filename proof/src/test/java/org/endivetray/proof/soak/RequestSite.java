package org.endivetray.proof.soak;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivetray.Json;
import org.endivetray.standin.HostTable;
import org.endivetray.standin.Main;
import org.endivetray.standin.MinionStandIn;
import org.endivetray.standin.PlatformStandIn;
import org.endivetray.standin.Site;

/**
 * A daemon that routes requests as a process of its own, beside stand-ins of its platform and its
 * minions, for clients that send more than the daemon can hold.
 *
 * <p>Invariants: the process runs with the flags of {@code scripts/lib.sh} and a smaller heap; all
 * sites of the tests share the stand-ins, whose pools the first site configures.
 *
 * <p>This class is not thread-safe.
 */
final class RequestSite implements CrowdedSite {
    private static final long DEPLOYED_HEAP_MIB = 160;
    private static final long HEAP_MIB = 48;
    private static final String FLAGS_START = "JVM_FLAGS=\"";
    private static final int TRIES = 300;
    private static final int TRY_MILLIS = 100;
    private static final AtomicInteger NEXT_NAME = new AtomicInteger(1);
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static int sPlatformPort;

    private final Path mFolder = Files.createTempDirectory("crowd");
    private final CrowdedProcess mProcess;
    private final List<InetSocketAddress> mAddresses = new ArrayList<>();

    /**
     * Starts the daemon and waits until it serves a request.
     *
     * @param limits members that are added to the limits in the settings, not null
     * @param descriptors most descriptors of the process, 0 for those of the machine
     */
    RequestSite(String limits, int descriptors) throws Exception {
        boolean isFirst = sPlatformPort == 0;
        if (isFirst) {
            sPlatformPort = startPlatform();
        }
        Path ports = mFolder.resolve("ports");
        Path settings = Files.writeString(mFolder.resolve("settings.json"), settings(limits));
        mProcess =
                CrowdedProcess.start(
                        command(settings, ports), Map.of(), mFolder.resolve("log"), descriptors);
        await(() -> Files.exists(ports));
        for (String port : Files.readString(ports).trim().split(" ")) {
            mAddresses.add(new InetSocketAddress("127.0.0.1", Integer.parseInt(port)));
        }
        await(() -> status(CrowdPort.OPERATORS, "/readyz", "") == 200);
        if (isFirst) {
            configure();
        }
        await(this::servesCaller);
    }

    private static int startPlatform() throws Exception {
        Site site = Site.KOCHI;
        MinionStandIn minions = new MinionStandIn(20);
        HostTable.MinionAddresses addresses =
                MinionStandIn.addresses(get(minions.start(site.hosts(), site.services())));
        PlatformStandIn platform =
                new PlatformStandIn(Main.hostsWithMinions(site, addresses), addresses, 200, 300);
        return get(platform.start(0));
    }

    private static <T> T get(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    private static List<String> command(Path settings, Path ports) throws IOException {
        List<String> command = new ArrayList<>(List.of(CrowdedProcess.JAVA));
        for (String line : Files.readAllLines(Path.of("../scripts/lib.sh"))) {
            if (line.startsWith(FLAGS_START)) {
                String flags = line.substring(FLAGS_START.length(), line.lastIndexOf('"'));
                command.addAll(List.of(flags.split(" ")));
            }
        }
        String deployed = "-Xmx" + DEPLOYED_HEAP_MIB + "m";
        command.replaceAll(word -> word.equals(deployed) ? "-Xmx" + HEAP_MIB + "m" : word);
        command.addAll(List.of("-jar", "target/endivetrayd.jar", "--settings"));
        command.addAll(List.of(settings.toString(), "--ports-file", ports.toString()));
        return command;
    }

    private static String settings(String limits) {
        String address = "{\"host\": \"127.0.0.1\", \"port\": " + sPlatformPort + "}";
        return String.join(
                "\n",
                "{\"name\": \"e" + NEXT_NAME.getAndIncrement() + "\", \"zone\": \"kochi-a\",",
                "\"platform\": {\"store\": " + address + ", \"hosts\": " + address + ",",
                "\"workers\": " + address + ", \"hostsRefreshMillis\": 200},",
                "\"membership\": {\"leaseMillis\": 1000, \"heartbeatMillis\": 200},",
                "\"limits\": {" + limits + "},",
                "\"log\": {\"decisions\": 0}}");
    }

    private void configure() throws Exception {
        String configuration = Json.mapper().valueToTree(Site.KOCHI.configuration()).toString();
        String id = post("/v1/plans", configuration).path("id").asText();
        post("/v1/plans/" + id + "/confirm", "");
        await(() -> call("GET", "/v1/plans/" + id, "").path("state").asText().equals("DONE"));
    }

    private JsonNode post(String path, String body) throws Exception {
        return call("POST", path, body);
    }

    private JsonNode call(String method, String path, String body) throws Exception {
        URI uri = URI.create("http:/" + address(CrowdPort.OPERATORS) + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .header("X-Endivetray-Operator", "tester")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        String answer = HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return Json.mapper().readTree(answer);
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        for (int i = 0; i < TRIES; i++) {
            if (condition.call()) {
                return;
            }
            Thread.sleep(TRY_MILLIS);
        }
        throw new AssertionError("the daemon does not serve in time");
    }

    private boolean servesCaller() throws InterruptedException {
        return status(CrowdPort.CALLERS, "/s/charts/x", "X-Endivetray-Member: polestar\r\n") == 200;
    }

    private int status(CrowdPort port, String path, String header) throws InterruptedException {
        return OrdinaryClient.sendWithRetries(address(port), OrdinaryClient.get(path, header));
    }

    @Override
    public CrowdedProcess process() {
        return mProcess;
    }

    @Override
    public InetSocketAddress address(CrowdPort port) {
        return mAddresses.get(port.ordinal() - CrowdPort.CALLERS.ordinal());
    }

    @Override
    public boolean servesOrdinaryClients() throws InterruptedException {
        return servesCaller()
                && status(CrowdPort.OPERATORS, "/v1/status", "") == 200
                && OrdinaryClient.servesPeer(address(CrowdPort.REQUEST_INNER));
    }

    @Override
    public boolean routesRequests() {
        return true;
    }

    @Override
    public long maxUsedMib() {
        return CrowdedProcess.maxUsedMib(DEPLOYED_HEAP_MIB, HEAP_MIB);
    }

    @Override
    public void close() throws InterruptedException {
        mProcess.close();
    }
}
