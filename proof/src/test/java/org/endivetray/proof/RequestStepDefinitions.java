package org.endivetray.proof;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.endivetray.standin.ResponseBodies;

/** Step definitions of {@code requests.feature}. */
public final class RequestStepDefinitions {
    private static TestSite sSite;

    private final List<TestSite.Response> mResponses = new ArrayList<>();
    private final List<String> mTokens = new ArrayList<>();
    private long mRunsBefore;

    @Before
    public void startSite() {
        if (sSite == null) {
            sSite = TestSite.start(3);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> sSite.close()));
        }
        if (sSite.daemon("e3") == null) {
            sSite.startDaemon("e3");
            TestSite.waitFor(() -> sSite.daemon("e3").isReady());
        }
        mRunsBefore = sSite.minionStats().path("runs").asLong();
    }

    @After
    public void clearFaults() {
        sSite.setMinionFault("", "NONE");
        sSite.setPlatformFault("store?mode=NONE");
        TestSite.waitFor(() -> sSite.get("e1", "/v1/status").path("storeUp").asBoolean());
        sendUntilMinionsAreReadmitted();
    }

    /**
     * Sends requests until ejected minions are used again: they return through probes, which only
     * requests trigger.
     */
    private void sendUntilMinionsAreReadmitted() {
        int[] answered = {0};
        TestSite.waitFor(
                () -> {
                    boolean isAnswered = send("e1", "GET", "warm", "").status() == 200;
                    answered[0] = isAnswered ? answered[0] + 1 : 0;
                    return answered[0] > 5;
                });
    }

    private TestSite.Response send(String daemon, String method, String token, String key) {
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Endivetray-Deadline-Millis", "3500");
        if (!key.isEmpty()) {
            headers.put("Idempotency-Key", key);
        }
        return sSite.call(daemon, method, "/s/charts/x?work=20&token=" + token, headers);
    }

    @Given("worker {string} has the minion fault {word}")
    public void workerHasFault(String worker, String fault) {
        sSite.setMinionFault(worker, fault);
    }

    @Given("all workers have the minion fault {word}")
    public void allWorkersHaveFault(String fault) {
        sSite.setMinionFault("", fault);
    }

    @Given("the store has the fault {word}")
    public void storeHasFault(String fault) {
        sSite.setPlatformFault("store?mode=" + fault + "&millis=150&count=1");
    }

    @When("{int} GET requests are sent to {string} through {string}")
    public void getRequestsAreSent(int count, String service, String daemon) {
        List<CompletableFuture<TestSite.Response>> pending = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String token = "g" + i;
            mTokens.add(token);
            pending.add(CompletableFuture.supplyAsync(() -> send(daemon, "GET", token, "")));
        }
        pending.forEach(result -> mResponses.add(result.join()));
    }

    @When("a {word} request with key {string} is sent to {string} through {string}")
    public void requestIsSent(String method, String key, String service, String daemon) {
        mResponses.clear();
        mResponses.add(send(daemon, method, "t" + key, key));
    }

    @When(
            "{int} POST requests with key {string} are sent to {string} through all daemons concurrently")
    public void sameKeyIsSentConcurrently(int count, String key, String service) {
        List<CompletableFuture<TestSite.Response>> pending = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String daemon = "e" + (i % 3 + 1);
            pending.add(CompletableFuture.supplyAsync(() -> send(daemon, "POST", "same", key)));
        }
        pending.forEach(result -> mResponses.add(result.join()));
    }

    @When("a POST request with key {string} is sent to {string} through {string}, which is killed")
    public void requestIsSentAndDaemonKilled(String key, String service, String daemon) {
        long before = sSite.minionStats().path("runs").asLong();
        CompletableFuture<TestSite.Response> sent =
                CompletableFuture.supplyAsync(() -> send(daemon, "POST", "t" + key, key));
        TestSite.waitFor(() -> sSite.minionStats().path("runs").asLong() > before);
        sSite.kill(daemon);
        assertThat(sent.handle((result, lost) -> lost != null).join())
                .as("the caller lost its connection")
                .isTrue();
    }

    @When("{string} is sent with member {string}, deadline {string} and {int} bytes")
    public void invalidRequestIsSent(String line, String member, String deadline, int bytes)
            throws Exception {
        String[] words = line.split(" ");
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + sSite.ports("e1").callers()
                                                + words[1]))
                        .header("X-Endivetray-Member", member)
                        .method(words[0], HttpRequest.BodyPublishers.ofString("x".repeat(bytes)));
        if (!deadline.isEmpty()) {
            request.header("X-Endivetray-Deadline-Millis", deadline);
        }
        HttpResponse<String> response =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build()
                        .send(request.build(), HttpResponse.BodyHandlers.ofString());
        mResponses.add(
                new TestSite.Response(
                        response.statusCode(),
                        response.headers().firstValue("X-Endivetray-Outcome").orElse(""),
                        response.headers().firstValue("X-Endivetray-Code").orElse(""),
                        response.body()));
    }

    @Then("all are {string} with status {int} and their own complete response")
    public void allAreAnswered(String outcome, int status) {
        for (int i = 0; i < mResponses.size(); i++) {
            assertThat(mResponses.get(i).outcome()).as(mResponses.get(i).body()).isEqualTo(outcome);
            assertThat(mResponses.get(i).status()).isEqualTo(status);
            assertThat(mResponses.get(i).body())
                    .isEqualTo(ResponseBodies.of("charts", mTokens.get(i), 0));
        }
    }

    @Then("all are {string} with status {int} and the same response")
    public void allHaveTheSameResponse(String outcome, int status) {
        for (TestSite.Response result : mResponses) {
            assertThat(result.outcome()).as(result.body()).isEqualTo(outcome);
            assertThat(result.status()).isEqualTo(status);
            assertThat(result.body()).isEqualTo(ResponseBodies.of("charts", "same", 0));
        }
    }

    @Then("the outcome is {string} with code {int}")
    public void lastResponseIs(String outcome, int code) {
        TestSite.Response result = mResponses.get(mResponses.size() - 1);
        assertThat(result.code()).as(result.body()).isEqualTo(Integer.toString(code));
        assertThat(result.outcome()).isEqualTo(outcome);
    }

    @Then("the request ran at most {int} times")
    public void requestRanAtMost(int runs) {
        long ran = sSite.minionStats().path("runs").asLong() - mRunsBefore;
        assertThat(ran).isLessThanOrEqualTo(runs);
        assertThat(sSite.minionStats().path("duplicated").asLong()).isZero();
    }
}
