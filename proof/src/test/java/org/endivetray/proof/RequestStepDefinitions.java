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

/** Steps of the fault tables of requests. */
public final class RequestStepDefinitions {
    private static TestSite sSite;

    private final List<TestSite.Response> mAnswers = new ArrayList<>();
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
        sendUntilAllMinionsAreInRouting();
    }

    /** Minions that were left out come back by probes, which requests bring about. */
    private void sendUntilAllMinionsAreInRouting() {
        int[] answered = {0};
        TestSite.waitFor(
                () -> {
                    boolean good = send("e1", "GET", "warm", "").status() == 200;
                    answered[0] = good ? answered[0] + 1 : 0;
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
        List<CompletableFuture<TestSite.Response>> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String token = "g" + i;
            mTokens.add(token);
            sent.add(CompletableFuture.supplyAsync(() -> send(daemon, "GET", token, "")));
        }
        sent.forEach(answer -> mAnswers.add(answer.join()));
    }

    @When("a {word} request with key {string} is sent to {string} through {string}")
    public void requestIsSent(String method, String key, String service, String daemon) {
        mAnswers.clear();
        mAnswers.add(send(daemon, method, "t" + key, key));
    }

    @When("{int} POST requests with key {string} are sent to {string} through all daemons at once")
    public void sameKeyIsSentConcurrently(int count, String key, String service) {
        List<CompletableFuture<TestSite.Response>> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String daemon = "e" + (i % 3 + 1);
            sent.add(CompletableFuture.supplyAsync(() -> send(daemon, "POST", "same", key)));
        }
        sent.forEach(answer -> mAnswers.add(answer.join()));
    }

    @When("a POST request with key {string} is sent to {string} through {string} and it is killed")
    public void requestIsSentAndDaemonKilled(String key, String service, String daemon) {
        long before = sSite.minionStats().path("runs").asLong();
        CompletableFuture<TestSite.Response> sent =
                CompletableFuture.supplyAsync(() -> send(daemon, "POST", "t" + key, key));
        TestSite.waitFor(() -> sSite.minionStats().path("runs").asLong() > before);
        sSite.kill(daemon);
        assertThat(sent.handle((answer, lost) -> lost != null).join())
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
        mAnswers.add(
                new TestSite.Response(
                        response.statusCode(),
                        response.headers().firstValue("X-Endivetray-Outcome").orElse(""),
                        response.headers().firstValue("X-Endivetray-Code").orElse(""),
                        response.body()));
    }

    @Then("all are {string} with status {int} and their own whole answer")
    public void allAreAnswered(String outcome, int status) {
        for (int i = 0; i < mAnswers.size(); i++) {
            assertThat(mAnswers.get(i).outcome()).as(mAnswers.get(i).body()).isEqualTo(outcome);
            assertThat(mAnswers.get(i).status()).isEqualTo(status);
            assertThat(mAnswers.get(i).body())
                    .isEqualTo(ResponseBodies.of("charts", mTokens.get(i), 0));
        }
    }

    @Then("all are {string} with status {int} and the same answer")
    public void allAreTheSame(String outcome, int status) {
        for (TestSite.Response answer : mAnswers) {
            assertThat(answer.outcome()).as(answer.body()).isEqualTo(outcome);
            assertThat(answer.status()).isEqualTo(status);
            assertThat(answer.body()).isEqualTo(ResponseBodies.of("charts", "same", 0));
        }
    }

    @Then("it is {string} with code {int}")
    public void lastResponseIs(String outcome, int code) {
        TestSite.Response answer = mAnswers.get(mAnswers.size() - 1);
        assertThat(answer.code()).as(answer.body()).isEqualTo(Integer.toString(code));
        assertThat(answer.outcome()).isEqualTo(outcome);
    }

    @Then("it ran at most {int} times")
    public void requestRanAtMost(int runs) {
        long ran = sSite.minionStats().path("runs").asLong() - mRunsBefore;
        assertThat(ran).isLessThanOrEqualTo(runs);
        assertThat(sSite.minionStats().path("duplicated").asLong()).isZero();
    }
}
