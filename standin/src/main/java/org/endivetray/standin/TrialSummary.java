package org.endivetray.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.endivetray.Json;

/**
 * Summarizes a run of {@code scripts/try} from the files that it wrote.
 *
 * <p>This class has no state and is thread-safe.
 */
final class TrialSummary {
    private static final int EXPECTED_ANSWERED = 1_000;
    private static final int EXPECTED_DRAINED = 4;

    private TrialSummary() {}

    /** Prints the summary as one JSON line and returns whether the run passed. */
    static boolean print(CommandLine line) throws IOException {
        Path folder = Path.of(line.getOptionValue("run"));
        List<String> output = Files.readAllLines(folder.resolve("callers.json"));
        JsonNode callers = Json.mapper().readTree(output.get(output.size() - 1));
        ObjectNode summary = Json.mapper().createObjectNode();
        summary.set("requests", callers.path("offered"));
        for (String name : List.of("answered", "notRun", "unknown", "wrong", "cut")) {
            summary.set(name, callers.path(name));
        }
        summary.put("hostsDrained", countDrained(read(folder, "hosts.json")));
        summary.put("moves", countMoves(read(folder, "plans.json")));
        summary.put("budgetViolations", countViolations(read(folder, "pools.json")));
        summary.set("p50Ms", callers.path("p50Ms"));
        summary.set("p99Ms", callers.path("p99Ms"));
        summary.put("site", line.getOptionValue("site"));
        summary.put("seed", line.getOptionValue("seed"));
        System.out.println(summary);
        return summary.path("answered").asInt() == EXPECTED_ANSWERED
                && summary.path("wrong").asInt() == 0
                && summary.path("cut").asInt() == 0
                && summary.path("budgetViolations").asInt() == 0
                && summary.path("hostsDrained").asInt() == EXPECTED_DRAINED;
    }

    private static JsonNode read(Path folder, String name) throws IOException {
        return Json.mapper().readTree(folder.resolve(name).toFile());
    }

    private static int countDrained(JsonNode hosts) {
        int drained = 0;
        for (JsonNode host : hosts) {
            drained += host.path("state").asText().equals("DRAINED") ? 1 : 0;
        }
        return drained;
    }

    private static int countMoves(JsonNode plans) {
        int moves = 0;
        for (JsonNode plan : plans) {
            moves += plan.path("estimate").path("moves").asInt();
        }
        return moves;
    }

    private static int countViolations(JsonNode pools) {
        int violations = 0;
        for (JsonNode row : pools) {
            JsonNode budget = row.path("pool").path("budget");
            boolean belowFloor =
                    row.path("available").asInt() < budget.path("floorWorkers").asInt();
            boolean aboveOutageLimit =
                    row.path("outages").size() > budget.path("maxPlannedOutages").asInt();
            violations += belowFloor || aboveOutageLimit ? 1 : 0;
        }
        return violations;
    }
}
