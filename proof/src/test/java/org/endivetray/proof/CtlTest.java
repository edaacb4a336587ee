package org.endivetray.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.ctl.Main;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CtlTest {
    private static TestSite sSite;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private boolean mConfirms = true;
    private int mConfirmationPrompts;

    @BeforeAll
    static void startSite() {
        sSite = TestSite.start(2);
    }

    @AfterAll
    static void stopSite() {
        sSite.close();
    }

    private int ctl(String line) {
        List<String> args = new ArrayList<>(List.of(line.split(" ")));
        if (!line.contains("--server")) {
            args.addAll(List.of("--server", sSite.operatorAddress("e1")));
        }
        return Main.run(
                args.toArray(new String[0]),
                new PrintStream(mOut),
                new PrintStream(mErr),
                question -> {
                    mConfirmationPrompts++;
                    return mConfirms;
                });
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "pool show nowhere | 10 | 2001 | pool 'nowhere' does not exist",
                "budget set nowhere --floor 1 | 10 | 2001 | pool 'nowhere' does not exist",
                "budget set charts --floor 7 | 11 | 2005 | floor requires 7, would be 6",
                "budget set charts --floor -1 | 2 | 2010 | floorWorkers must be between 0",
                "drain rack nowhere | 10 | 2003 | no worker is in rack 'nowhere'",
                "drain zone kochi-a --yes | 11 | 2005 | planned_outages requires 2, would be",
                "lend 9 --from support --to charts | 11 | 2011 | can lend 6 workers",
                "lend x --from support --to charts | 2 | 5001 | N must be a whole number: 'x'",
                "lend 1 --to charts | 2 | 5001 | missing option --from",
                "plan show p-none | 10 | 2004 | plan 'p-none' does not exist",
                "plan confirm p-none | 10 | 2004 | plan 'p-none' does not exist",
                "pool create charts --floor 0 | 12 | 4003 | pool 'charts' is at version",
                "pool create x --workers kochi-w00 | 13 | 2012 | is in pool 'charts'",
                "fly away | 2 | 5001 | unknown command",
                "status --output xml | 2 | 5001 | --output must be table or json: 'xml'",
                "status --server 127.0.0.1:1 | 40 | 5002 | 127.0.0.1:1",
                "status --server nonsense | 2 | 5001 | --server must be host:port: 'nonsense'",
            })
    void aFailureHasItsExitCodeNumberAndReason(String line, int exit, int number, String reason) {
        assertThat(ctl(line)).as(mErr.toString()).isEqualTo(exit);
        assertThat(mErr.toString()).contains("error " + number + " ").contains(reason);
    }

    @Test
    void aChangePrintsThePlanAndAsksBeforeAnythingMoves() {
        mConfirms = false;
        assertThat(ctl("drain rack kochi-r5")).isEqualTo(41);
        assertThat(mConfirmationPrompts).isEqualTo(1);
        assertThat(mOut.toString())
                .contains("intent    drain rack kochi-r5")
                .contains("moves     0");
        for (JsonNode worker : sSite.get("e1", "/v1/workers")) {
            boolean isInRack = worker.path("rack").asText().equals("kochi-r5");
            assertThat(isInRack && !worker.path("state").asText().equals("ACTIVE")).isFalse();
        }
    }

    @Test
    void aStalePlanIsRefusedWithItsExitCode() {
        String id =
                sSite.propose("e1", Intent.of(IntentKind.DRAIN_RACK, "kochi-r7"))
                        .path("id")
                        .asText();
        sSite.runPlan("e1", Intent.of(IntentKind.DRAIN_WORKER, "kochi-w28"));
        assertThat(ctl("plan confirm " + id + " --yes")).isEqualTo(12);
        assertThat(mErr.toString())
                .contains("error 2006 STALE_PLAN")
                .contains("the fresh plan is p-");
    }

    @Test
    void aBudgetSetWithConfirmationIsInForce() {
        assertThat(ctl("budget set routes --floor 3 --max-out 1 --yes")).isZero();
        assertThat(mConfirmationPrompts).isZero();
        TestSite.waitFor(
                () ->
                        sSite.get("e2", "/v1/pools/routes")
                                        .path("pool")
                                        .path("budget")
                                        .path("floorWorkers")
                                        .asInt()
                                == 3);
    }

    @Test
    void listsAreTablesOrJson() {
        assertThat(ctl("worker list")).isZero();
        assertThat(mOut.toString()).startsWith("WORKER").contains("kochi-w00");
        mOut.reset();
        assertThat(ctl("pool list --output json")).isZero();
        assertThat(mOut.toString()).startsWith("[").contains("\"charts\"");
    }

    @Test
    void everyCommandHasHelp() {
        assertThat(ctl("--help")).isZero();
        for (String line : mOut.toString().lines().filter(text -> text.startsWith("  ")).toList()) {
            String words = line.trim().split("  +")[0].replaceAll(" [A-Z][A-Za-z|]*$", "");
            assertThat(ctl(words + " --help")).as(words).isZero();
        }
    }

    @Test
    void theFirstDaemonThatAnswersIsAsked() {
        assertThat(ctl("status --server 127.0.0.1:1," + sSite.operatorAddress("e2"))).isZero();
        assertThat(mOut.toString()).contains("e2");
    }
}
