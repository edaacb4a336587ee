package org.endivetray.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/** Samples the pools periodically, and records each violated budget or worker in two pools. */
final class BudgetMonitor {
    private final Set<String> mViolations = Collections.synchronizedSet(new TreeSet<>());
    private final Thread mThread;
    private volatile boolean mStopped;
    private volatile int mSamples;

    BudgetMonitor(TestSite site, String daemon) {
        mThread =
                new Thread(
                        () -> {
                            while (!mStopped) {
                                sample(site, daemon);
                                TestSite.pause(20);
                            }
                        },
                        "budget-monitor");
        mThread.setDaemon(true);
        mThread.start();
    }

    void stop() {
        mStopped = true;
        try {
            mThread.join(5_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void assertNoViolations() {
        assertThat(mSamples).as("number of samples").isGreaterThan(3);
        assertThat(mViolations).isEmpty();
    }

    private void sample(TestSite site, String daemon) {
        for (JsonNode pool : site.get(daemon, "/v1/pools")) {
            JsonNode budget = pool.path("pool").path("budget");
            String name = pool.path("pool").path("name").asText();
            if (pool.path("available").asInt() < budget.path("floorWorkers").asInt()) {
                mViolations.add(name + " is below its floor: " + pool.path("available"));
            }
            if (pool.path("outages").size() > budget.path("maxPlannedOutages").asInt()) {
                mViolations.add(name + " has too many outages: " + pool.path("outages"));
            }
        }
        Set<String> seen = new HashSet<>();
        for (JsonNode worker : site.get(daemon, "/v1/workers")) {
            if (!seen.add(worker.path("worker").asText())) {
                mViolations.add("in two pools: " + worker);
            }
        }
        mSamples++;
    }
}
